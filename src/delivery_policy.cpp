// All decisions of the library. docs/design.md describes the ordinary path; what goes beyond it is explained
// in comments here.
#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "starlinghook/delivery.hpp"

namespace starlinghook {
namespace {

using std::chrono::milliseconds;

// Multiplier of the linear backoff, as a share of the class's aim.
constexpr double kBackoffMultiplierPerAim = 0.25;
// Upper bound of that multiplier: the 1.5 s of the algorithm that the linear backoff is taken from.
constexpr Time kMaxBackoffMultiplier = milliseconds(1500);
// Share of the call slots that one destination may hold.
constexpr double kMaxWindowSlotShare = 0.75;
// Share of the call slots that all unhealthy destinations together may hold.
constexpr double kMaxUnhealthySlotShare = 0.5;
// A failing destination backs off for multiplier x consecutive failures, with the failures capped at this.
constexpr int kMaxBackoffFactor = 4;
// Consecutive failures that make a destination unhealthy.
constexpr int kUnhealthyConsecutiveFailures = 3;
// Share of failures that makes a destination unhealthy, and at or above which a failure restarts its outage.
constexpr double kUnhealthyFailureShare = 0.5;
// Weight of the newest outcome in the failure share.
constexpr double kFailureShareWeight = 0.25;
// Share of failures with unknown effect above which unsafe messages are held back.
constexpr double kMaxUncertainShareForUnsafe = 0.2;
// Refusals without a success between them that show a destination to be unavailable, not just at its limit.
constexpr int kUnavailableConsecutiveRefusals = 5;
// Weight of the newest answer in the mean answer time.
constexpr double kLatencyWeight = 0.125;
// A call is overdue after the mean answer time plus this many mean deviations.
constexpr double kStallDeviations = 6;
// A repeatable call times out after this many times its stall time.
constexpr double kTimeoutStallTimes = 3;
// Weight of the newest overdue call in the share of overdue calls that are never answered.
constexpr double kUnansweredShareWeight = 0.1;
// Half-life of that share, in seconds.
constexpr double kUnansweredShareHalfLifeSeconds = 10;
// Factor applied to the pace after a refusal above the limit.
constexpr double kPaceDecreaseFactor = 0.75;
// Increase of the pace share per delivery, and its upper bound if each forwarder gets one delivery.
constexpr double kPaceIncrease = 0.02, kFleetPaceIncrease = 0.08;
// From this many forwarders on, each sees too few answers to find its own part of a limit.
constexpr std::uint32_t kManyForwarders = 10;
// Even shares that one of many forwarders may use until answers report less.
constexpr double kMaxInitialEvenShares = 4;
// With many forwarders, a pace under constant refusals is at least the even share divided by this.
constexpr double kMinPaceDivisor = 8;
// Beyond the even share, the pace grows while answers report more than this share of the allowance left.
constexpr double kAllowanceAvailable = 0.3;
// Beyond the even share, the pace is reduced when answers report less than this share of the allowance left.
constexpr double kAllowanceExhausted = 0.1;
// Relative change of the pace per answer, up or down, beyond the even share.
constexpr double kPaceStepAboveShare = 0.1;
// Relative increase of the pace per answer below the even share.
constexpr double kPaceStepBelowShare = 0.4;
// Relative difference from which a reported limit counts as a different limit.
constexpr double kLimitChangeThreshold = 0.25;
// Factor on burst length where one call may carry several messages.
constexpr double kBatchBurstFactor = 2;
// Calls that may be sent at once, in seconds of the pace.
constexpr double kBurstSeconds = 0.5;
// Factor by which an approximate listed rate may be too high.
constexpr double kApproximateRateFactor = 1.5;
// Share of the message capacity that is kept free for new messages.
constexpr double kCapacityReserve = 0.1;
// Share of a slow-start budget that one forwarder can earn at most.
constexpr double kMaxSlowStartShare = 0.66;
// Standard deviations by which the backlog of an outage may exceed what the rate suggests.
constexpr double kBacklogDeviations = 5;
// A limit is oversubscribed when the even share of a forwarder is below this many calls a second.
constexpr double kMinCallsPerSecondEach = 0.1;
// Total traffic is assumed to be this share of all listed rates.
constexpr double kAssumedUtilization = 0.8;
// Findings about connections (a connection limit, losses on idle ones) hold for this many idle timeouts.
constexpr int kConnectionFindingIdleTimeouts = 4;
// A connection that is in use for less than this share of the time counts as mostly idle.
constexpr double kMinConnectionUtilization = 0.5;
// Upper bound of the shortest class of idle times; each further class is twice as long.
constexpr Time kMinIdleBucket = milliseconds(25);
// Weight of the newest call in the share of calls lost with their connection.
constexpr double kLossShareWeight = 0.02;
// Lost calls needed before a class of idle times is judged.
constexpr double kMinLostCalls = 3;
// Share of lost calls, beyond that on new connections, from which idle connections are avoided.
constexpr double kMaxExcessLossShare = 0.08;
// Each further refusal raises the least spacing of turns by this factor; turns apply for as many spacings.
constexpr int kTurnSpacingGrowth = 4;
// The messages that wait for a destination are checked again at the latest after this time.
constexpr Time kMaxCheckInterval = milliseconds(100);
// Log messages per process.
constexpr std::size_t kMaxLogMessages = 60;

// A destination whose answers take this many times the usual time may hold half the slots.
constexpr double kSlowAnswerFactor = 3;
constexpr double kNoLimit = 1e9;
// One more call is tried after the overload window divided by this.
constexpr int kConnectionRetryDivisor = 4;
constexpr Time kNever = Time::max(), kLongAgo = Time::min() / 2;

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }
Time from_seconds(double s) { return Time(std::llround(std::clamp(s, 0.0, 1e9) * 1e6)); }
std::size_t share_of(std::size_t slots, double share) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(slots) * share));
}

// What the outcomes of calls show about the health of an endpoint, or of a route as a whole.
struct Health {
  int consecutive_failures = 0;  // since the last success
  int consecutive_refusals = 0;  // since the last success
  Time refused_since{};          // first of the consecutive refusals
  double failure_share = 0;      // recent, 0 to 1
  double uncertain_share = 0;    // recent share of failures that may have taken effect
  bool unhealthy = false;        // in an outage or in the slow start after it
  double earned_calls = 0;  // added to the slow-start budget by successes since the last failure or refusal
  Time backoff_until = kLongAgo, last_success = kLongAgo;
  std::optional<Time> recovering_since;  // first success after the last failure; begins the slow start
  Time failing_since{};
  Time last_probe_call = kLongAgo;  // used where many forwarders share the slow-start budget
  double probe_call_turns = 0;    // calls of other forwarders before the next probe call, per waiting message
  std::deque<Time> recent_calls;  // those within the overload window, the oldest first
};

struct Route {
  double rate = 0;      // calls a second from all forwarders, as listed or reported; 0 = unknown
  bool listed = false;  // whether the list names a rate
  double arrivals = 0;  // messages since the start of the process that this route could take
  Health health;
  std::size_t in_flight = 0;
  double window = 1;  // congestion window, in calls
  Time last_window_cut = kLongAgo, last_pace_cut = kLongAgo;
  Time wait_until = kLongAgo;  // as requested by the destination
  double reported_limit = 0;   // limit reported by answers; applies where clearly below the listed rate
  double pace_share = 1;       // share of the limit
  double burst_seconds = kBurstSeconds;
  double tokens = 1;
  Time tokens_updated_at = kLongAgo;
  Time last_refusal = kLongAgo;  // newest refusal, where forwarders oversubscribe the limit
  Time next_turn = kLongAgo;     // earliest time of this forwarder's next call after that refusal
  Time turn_spacing{};           // interval between its calls
  double answer_mean = 0, answer_deviation = 0;  // seconds; 0 until the first answer
};

struct Endpoint {
  EndpointEntry entry;
  Route* route = nullptr;
  Health health;
  std::multiset<Time> in_flight;  // calls, by the time they were sent
  std::size_t connections = 0;
  double max_in_flight = kNoLimit;           // calls that the endpoint's connection limit leaves room for
  Time connections_full_at = kLongAgo;       // when that limit was last observed
  Time connection_retry_interval = Time(1);  // one more call is tried after each such interval
  Time last_used = kLongAgo;
  std::uint64_t tie_breaker = 0;  // decides between equal endpoints; differs between forwarders
};

struct Message {
  MessageArrived arrival;
  const ClassSettings* class_settings = nullptr;
  Time first_submitted{};  // by the client
  Time deadline{};
  Time not_before{};  // backoff or requested wait
  bool ended = false, may_have_run = false;
  std::uint32_t attempts = 0;
  Time uncertain_since{};  // start of the first attempt that may have run
  std::uint32_t uncertain_zone = 0;
  Time sent_at{};
  std::size_t call_id = 0;
};

struct Call {
  EndpointId endpoint = 0;
  Time sent_at{};
  std::size_t messages = 0;
  std::size_t pending = 0;  // messages without an outcome
  bool unsafe = false;      // carries a message that cannot be repeated
  bool cancelled = false;
};

// Share of calls lost because their connection broke, for connections of one class of idle times.
struct ConnectionLoss {
  double calls = 0, lost = 0;
  double share() const { return lost / std::max(1.0, calls); }
};

struct KeyQueue {
  std::deque<MessageId> messages;  // in order of arrival
  Time quiet_until = kLongAgo;
};

struct Destination {
  std::vector<Message*> waiting;  // pointers into Policy::messages_, whose elements do not move
  Time next_check = kLongAgo;     // earliest time at which a waiting message may have to be given up
  std::set<EndpointId> endpoints;
};

}  // namespace

class Forwarder::Policy {
 public:
  explicit Policy(const Settings& s) : s_(s), random_(s.seed) {}

  void start(Time now, std::vector<Action>& actions) {
    now_ = started_ = now;
    actions_ = &actions;
    if (s_.list_on_request) request_list();
    set_timer();
  }

  template <class A>
  void serialize_state(A& archive);
  std::vector<DegradedEndpoint> degraded_endpoints() const {
    std::vector<DegradedEndpoint> result;
    for (const auto& [id, e] : endpoints_) {
      const Route& r = *e.route;
      const bool fails = failing(e.health) || failing(r.health),
                 recovering = e.health.unhealthy || r.health.unhealthy;
      if (e.entry.condition != Condition::ready || !(fails || recovering || effective_limit(r) * 2 < r.rate))
        continue;
      result.push_back({id,
                        fails        ? DegradationKind::failing
                        : recovering ? DegradationKind::slow_start
                                     : DegradationKind::reduced_limit,
                        e.health.failure_share});
    }
    return result;
  }
  std::size_t record_count() const {
    return messages_.size() + calls_.size() + endpoints_.size() + keys_.size();
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    remove_stale_entries();
    const auto* const arrived = std::get_if<MessageArrived>(&event);
    if (!arrived || !arrived->more_follow) dispatch();
    set_timer();
  }

 private:
  template <class A>
  void emit(A action) {
    actions_->emplace_back(std::in_place_type<A>, std::move(action));
  }
  void log(const std::string& text) {
    if (log_messages_++ < kMaxLogMessages) emit(LogMessage{text});
  }

  void on(const MessageArrived& e) {
    Message m;
    m.arrival = e;
    m.class_settings = &s_.classes.at(e.message_class);
    m.deadline = now_ + e.time_left;
    m.first_submitted = m.deadline - std::max(m.class_settings->deadline, e.time_left);
    m.not_before = now_;
    m.attempts = e.attempts;
    m.may_have_run = e.may_have_run;
    m.uncertain_since = now_ - e.uncertain_age;
    m.uncertain_zone = e.uncertain_zone;
    if (m.class_settings->sequential && e.key != 0) keys_[e.key].messages.push_back(e.id);
    ++arrivals_;
    const Route* counted = nullptr;
    for (EndpointId id : destinations_[e.destination].endpoints) {
      Route* route = endpoints_.at(id).route;
      if (route != counted) ++route->arrivals;
      counted = route;
    }
    enqueue(messages_[e.id] = m);
  }

  bool has_separate_route(const EndpointEntry& entry) const {
    return entry.kind < s_.kinds.size() && s_.kinds[entry.kind].separate_routes;
  }
  void enqueue(Message& m) {
    Destination& d = destinations_[m.arrival.destination];
    d.waiting.push_back(&m);
    d.next_check = std::min(d.next_check, give_up_at(d, m));
    waiting_destinations_.insert(m.arrival.destination);
  }
  void dequeue(const Message& m) {
    std::vector<Message*>& waiting = destinations_[m.arrival.destination].waiting;
    std::erase(waiting, &m);
    if (waiting.empty()) waiting_destinations_.erase(m.arrival.destination);
  }

  void on(const MessageDropped& e) {
    if (auto it = messages_.find(e.id); it != messages_.end()) end(it->second);
  }

  void on(const AttemptEnded& e) {
    auto it = messages_.find(e.id);
    if (it == messages_.end() || it->second.call_id == 0) return;
    Message& m = it->second;
    Endpoint& endpoint = endpoints_.at(e.endpoint);
    auto call = calls_.find(m.call_id);
    record_outcome(endpoint, e, m.sent_at);
    record_connection_loss(e);
    if (--call->second.pending == 0) finish_call(call->first, e);
    m.call_id = 0;
    bool effect_unknown = e.outcome == Outcome::error || e.outcome == Outcome::timeout ||
                          e.outcome == Outcome::reset || e.outcome == Outcome::cancelled;
    if (effect_unknown && !m.may_have_run) {
      m.may_have_run = true;
      m.uncertain_since = m.sent_at;
      m.uncertain_zone = endpoint.entry.zone;
    }
    if (m.class_settings->sequential && m.arrival.key != 0 && effect_unknown && e.outcome != Outcome::error) {
      Time& quiet_until = keys_[m.arrival.key].quiet_until;  // the work may still be running
      quiet_until = std::max(quiet_until, now_ + s_.key_quiet_time);
    }
    if (e.outcome == Outcome::not_sent) endpoint.route->tokens += 1;  // the call used none of the limit
    if (e.finished || m.ended) return end(m);
    // Linear backoff, or the wait that the destination requested.
    m.not_before =
        now_ + (e.retry_after > Time(0) ? e.retry_after : backoff_multiplier(*m.class_settings) * m.attempts);
    const bool no_room = e.outcome == Outcome::full && endpoint.connections_full_at == now_;
    if (e.outcome == Outcome::not_sent || no_room) m.not_before = now_ + s_.resolution;
    enqueue(m);
  }

  // Relays cannot probe, so no Probe is ever sent.
  void on(const ProbeEnded& e) { endpoints_.at(e.endpoint); }

  void on(const ListChanged& e) {
    if (e.full) {
      std::set<EndpointId> listed;
      for (const EndpointEntry& entry : e.entries) listed.insert(entry.endpoint);
      for (auto& [id, endpoint] : endpoints_) {
        if (listed.count(id)) continue;
        endpoint.entry.condition = Condition::gone;
        removed_.insert(id);
      }
    }
    for (const EndpointEntry& entry : e.entries) {
      std::pair key(entry.destination,
                    has_separate_route(entry) ? std::optional(entry.endpoint) : std::nullopt);
      Endpoint& endpoint = endpoints_[entry.endpoint];
      if (endpoint.route == nullptr) endpoint.tie_breaker = random_();
      if (endpoint.route) destinations_[endpoint.entry.destination].endpoints.erase(entry.endpoint);
      // An endpoint whose drain is withdrawn, as by a health check, may have restarted: it begins a slow
      // start. This does not shorten a backoff.
      const bool drain_withdrawn =
          endpoint.entry.condition == Condition::draining && entry.condition == Condition::ready;
      if (drain_withdrawn && !failing(endpoint.health))
        endpoint.health.unhealthy = true, endpoint.health.recovering_since = now_;
      endpoint.entry = entry;
      if (entry.condition == Condition::gone) removed_.insert(entry.endpoint);
      endpoint.route = &routes_[key];
      const bool batching = entry.kind < s_.kinds.size() && s_.kinds[entry.kind].max_batch > 1;
      endpoint.route->burst_seconds = batching ? kBurstSeconds * kBatchBurstFactor : kBurstSeconds;
      if (entry.rate > 0) {
        listed_rate_ += entry.rate - endpoint.route->rate;
        endpoint.route->rate = entry.rate;  // a removal may omit the rate
        if (!std::exchange(endpoint.route->listed, true) && many_forwarders(*endpoint.route))
          endpoint.route->pace_share = std::min(1.0, even_share() * kMaxInitialEvenShares);
      }
      destinations_[entry.destination].endpoints.insert(entry.endpoint);
      destinations_[entry.destination].next_check = kLongAgo;
    }
    list_failures_ = 0;
  }

  // Bounds the memory of a long-running process. A destination's health stays with its route.
  void remove_stale_entries() {
    std::erase_if(removed_, [this](EndpointId id) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::gone) return true;
      if (!e.in_flight.empty()) return false;
      const EndpointEntry entry = e.entry;
      destinations_[entry.destination].endpoints.erase(id);
      endpoints_.erase(id);
      if (has_separate_route(entry)) routes_.erase({entry.destination, entry.endpoint});
      return true;
    });
    for (; !quiet_keys_.empty() && quiet_keys_.front().first <= now_; quiet_keys_.pop_front()) {
      auto it = keys_.find(quiet_keys_.front().second);
      if (it != keys_.end() && it->second.messages.empty() && it->second.quiet_until <= now_) keys_.erase(it);
    }
  }

  void on(const ListFailed&) {
    next_list_request_ = now_ + std::min(kMaxBackoffMultiplier * ++list_failures_,
                                         std::max(s_.max_list_request_delay / 2, s_.resolution));
  }

  void on(const ShutdownScheduled& e) { shutdown_at_ = e.at; }
  void on(const RecordingChanged& e) { recording_available_ = e.available; }
  void on(const BackoffCapped& e) { backoff_exempt_ = {e.exempt.begin(), e.exempt.end()}; }

  void on(const TimerExpired&) {
    if (timer_at_ <= now_) timer_at_ = kNever;
    if (s_.list_on_request && next_list_request_ <= now_) request_list();
  }

  void request_list() {
    emit(WatchList{});
    next_list_request_ = kNever;
  }

  void record_outcome(Endpoint& endpoint, const AttemptEnded& e, Time sent_at) {
    const bool before = failing(endpoint.health), route_before = failing(endpoint.route->health);
    apply_outcome(endpoint, e, sent_at);
    const bool after = failing(endpoint.health),
               route_changed = failing(endpoint.route->health) != route_before;
    if (after == before && !route_changed) return;
    log("endpoint " + std::to_string(endpoint.entry.endpoint) +
        (before ? " answers again: slow start" : " is failing: backs off, probe calls only"));
  }

  void apply_outcome(Endpoint& endpoint, const AttemptEnded& e, Time sent_at) {
    Route& route = *endpoint.route;
    if (e.report.present && e.report.limit > 0) update_reported_limit(route, e.report.limit);
    switch (e.outcome) {
      case Outcome::delivered:
        record_success(endpoint.health);
        record_success(route.health);
        route.window =
            std::min(route.window + 1, static_cast<double>(share_of(s_.slots, kMaxWindowSlotShare)));
        adjust_pace(route, e.report);
        break;
      case Outcome::full:
        // A limit on connections must not be taken for a limit on calls. The outcome says which it is, or a
        // new connection is refused and closed while others of this forwarder work.
        if (e.connection_only || (may_be_connection_limit(e) && endpoint.in_flight.size() > 1)) {
          endpoint.max_in_flight = static_cast<double>(endpoint.in_flight.size()) - 1;
          endpoint.connections_full_at = now_;
          endpoint.connection_retry_interval = s_.overload_window / kConnectionRetryDivisor;
          if (s_.forwarders > 1)
            endpoint.connection_retry_interval = jittered(endpoint.connection_retry_interval);
          if (e.connection_only) mark_connections_scarce(endpoint, true);
          break;
        }
        destinations_.at(endpoint.entry.destination).next_check = kLongAgo;
        if (e.retry_after > Time(0)) route.wait_until = std::max(route.wait_until, now_ + e.retry_after);
        record_refusal(endpoint.health, e.retry_after, route.rate);
        record_refusal(route.health, e.retry_after, route.rate);
        shrink_window(route, sent_at);
        reduce_pace(route, sent_at);
        schedule_turn(route);
        break;
      case Outcome::timeout:
      case Outcome::error:
      case Outcome::reset:
      case Outcome::connect_failed: {
        // A time-out while other calls were answered is a slow message, not a sign of an outage.
        if (e.outcome == Outcome::timeout && endpoint.health.last_success > sent_at) break;
        // Broken connections must not be taken for an outage: an idle one that breaks shows nothing, since
        // the next call opens a new one, and a new one that came up was not refused.
        if (e.connection_only && e.connection_idle > Time(0)) break;
        const Outcome health_outcome = e.connection_only ? Outcome::error : e.outcome;
        record_failure(endpoint.health, health_outcome, route.rate);
        if (health_outcome != Outcome::connect_failed || !has_working_sibling(endpoint))
          record_failure(route.health, health_outcome, route.rate);
        if (health_outcome != Outcome::error) shrink_window(route, sent_at);
        break;
      }
      default:
        break;
    }
  }

  // Whether a refusal may be of a new connection: the endpoint closed it unasked after the answer, and the
  // answer says nothing of load.
  static bool may_be_connection_limit(const AttemptEnded& e) {
    const bool closed_unasked = e.connection_closed && !e.close_requested;
    return e.connection_idle == Time(0) && closed_unasked && e.retry_after == Time(0) && !e.report.present;
  }
  // Without this, a whole destination would back off for one endpoint that is gone before the list says so.
  bool has_working_sibling(const Endpoint& gone) const {
    const auto& all = destinations_.at(gone.entry.destination).endpoints;
    return std::any_of(all.begin(), all.end(), [&](EndpointId id) {
      const Endpoint& e = endpoints_.at(id);
      return &e != &gone && e.entry.condition == Condition::ready && !failing(e.health) &&
             e.health.last_success > kLongAgo;
    });
  }
  // Idle connections may be dropped by the other side unnoticed. From the idle time on at which they lose
  // calls clearly more often than new connections do, new ones are opened instead, for a while.
  void record_connection_loss(const AttemptEnded& e) {
    if (e.connection_idle < Time(0) || !(answered(e.outcome) || e.connection_only)) return;
    const std::size_t bucket = std::bit_width(static_cast<std::uint64_t>(e.connection_idle / kMinIdleBucket));
    ConnectionLoss& losses =
        e.connection_idle == Time(0)
            ? new_connection_losses_
            : idle_connection_losses_[std::min(bucket, idle_connection_losses_.size() - 1)];
    losses.calls += 1 - kLossShareWeight * losses.calls;
    const bool lost = e.connection_only && e.outcome != Outcome::full;
    losses.lost += (lost ? 1 : 0) - kLossShareWeight * losses.lost;
    if (lost) last_connection_loss_ = now_;
  }
  Time max_idle() {
    if (last_connection_loss_ + s_.connection_idle_timeout * kConnectionFindingIdleTimeouts < now_)
      idle_connection_losses_ = {};  // tried again after a while
    Time bound = kMinIdleBucket / 2;
    for (const ConnectionLoss& losses : idle_connection_losses_) {
      if (losses.lost >= kMinLostCalls &&
          losses.share() > new_connection_losses_.share() + kMaxExcessLossShare)
        return bound;
      bound *= 2;
    }
    return kNever;
  }

  // Very many forwarders could overrun a small limit, or an unavailable destination, with few calls each.
  // Turns spread out with each refusal: up to an even share and, after two refusals, to what a destination in
  // slow start can take. An unknown rate counts as oversubscribed.
  bool oversubscribed(const Route& r) const {
    return s_.forwarders > 1 && r.rate < kMinCallsPerSecondEach * s_.forwarders;
  }
  // Messages a second that arrive here for the route, as if the process had been running for `extra_time`
  // longer.
  double local_rate(const Route& r, Time extra_time) const {
    return std::max(1.0, r.arrivals) / seconds(now_ - started_ + extra_time);
  }
  // Interval between two calls when each forwarder uses its part of the limit, which is its part of all
  // traffic.
  Time fair_call_interval(const Route& r) const {
    const double traffic = (arrivals_ + 1) / (seconds(now_ - started_) + 1);
    double part = std::min(1.0, traffic / std::max(1e-3, listed_rate_ * kAssumedUtilization));
    // Without a known rate the forwarder's own rate is its part; a single message soon after the start must
    // not count as a high rate.
    if (r.rate <= 0)
      return from_seconds(1 / local_rate(r, kMaxBackoffMultiplier * kTurnSpacingGrowth * kTurnSpacingGrowth));
    if (!r.listed) part = 1.0 / s_.forwarders;
    return from_seconds(1 / (r.rate * part));
  }
  bool turns_active(const Route& r) const {
    return now_ < r.last_refusal + r.turn_spacing * kTurnSpacingGrowth;
  }
  void schedule_turn(Route& r) {
    if (!oversubscribed(r)) return;
    // Retries at a destination's return must not outnumber new messages, and a burst that was refused must
    // not return as one. They are spread evenly on a logarithmic scale, from the original multiplier to this
    // forwarder's even share.
    const double min_spacing =
        seconds(turns_active(r) ? r.turn_spacing * kTurnSpacingGrowth : kMaxBackoffMultiplier);
    // After two refusals the destination may be unavailable, not at its limit.
    const int factor = r.health.consecutive_refusals > 1 ? kTurnSpacingGrowth : 1;
    const double max_spacing = seconds(std::max(min_backoff_multiplier(), fair_call_interval(r) * factor));
    r.turn_spacing = from_seconds(min_spacing < max_spacing
                                      ? min_spacing * std::pow(max_spacing / min_spacing, random_fraction())
                                      : max_spacing);
    r.last_refusal = now_;
    r.next_turn = std::max(now_, r.wait_until) + jittered(r.turn_spacing);
  }
  double random_fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }  // uniform in [0, 1)
  Time jittered(Time span) {  // uniform between half and one and a half times the span
    return from_seconds(seconds(span) * (0.5 + random_fraction()));
  }

  void record_success(Health& h) {
    h.consecutive_failures = h.consecutive_refusals = 0;
    h.failure_share *= 1 - kFailureShareWeight;
    h.uncertain_share *= 1 - kFailureShareWeight;
    h.last_success = now_;
    h.backoff_until = kLongAgo;
    if (h.unhealthy && !h.recovering_since) h.recovering_since = now_;
    h.earned_calls = h.unhealthy ? h.earned_calls + 1 : 0;
  }

  void record_failure(Health& h, Outcome outcome, double rate) {
    const bool effect_unknown = outcome != Outcome::connect_failed;
    h.earned_calls = 0;
    ++h.consecutive_failures;
    h.failure_share += kFailureShareWeight * (1 - h.failure_share);
    h.uncertain_share += kFailureShareWeight * ((effect_unknown ? 1 : 0) - h.uncertain_share);
    // Where calls are rare and none succeeded lately, one failure is enough. A single reset is not: its
    // answer may have been lost after the work was done, while a crash resets many calls.
    const bool rare = rate < s_.forwarders && h.last_success + s_.overload_window < now_;
    const bool one_is_enough = rare && outcome != Outcome::reset;
    const bool outage = h.consecutive_failures >= kUnhealthyConsecutiveFailures ||
                        h.failure_share >= kUnhealthyFailureShare || one_is_enough;
    if (!h.unhealthy && (outage || !effect_unknown)) {
      h.unhealthy = true;
      h.failing_since = now_;
      schedule_probe_call(h, rate);
    }
    if (!h.unhealthy) return;
    if (outage) h.recovering_since.reset();
    h.backoff_until = now_ + min_backoff_multiplier() * std::min(h.consecutive_failures, kMaxBackoffFactor);
  }

  // A run of refusals without a success, or a requested wait longer than any limit's window, shows that the
  // destination is unavailable.
  void record_refusal(Health& h, Time requested_wait, double rate) {
    h.earned_calls = 0;
    if (h.consecutive_refusals++ == 0) h.refused_since = now_;
    const bool refusal_run = h.consecutive_refusals >= kUnavailableConsecutiveRefusals &&
                             now_ - h.refused_since >= s_.overload_window;
    bool unavailable = requested_wait > s_.overload_window ||
                       (refusal_run && rate >= s_.forwarders * kMinCallsPerSecondEach);
    if (unavailable || (h.unhealthy && !h.recovering_since)) record_failure(h, Outcome::connect_failed, rate);
  }

  // Halves the window, once for all calls that were in flight together.
  void shrink_window(Route& route, Time sent_at) {
    if (sent_at < route.last_window_cut) return;
    route.last_window_cut = now_;
    route.window = std::max(1.0, std::floor(route.window / 2));
  }
  // A refusal reduces the pace, starting from this forwarder's arrival rate or twice its even share (with
  // many forwarders, that share), if lower. The next call waits a random time, since requested waits end for
  // all forwarders at once.
  void reduce_pace(Route& route, Time sent_at) {
    const bool wait_requested = route.wait_until > now_;
    route.tokens =
        std::min(route.tokens, (many_forwarders(route) ? 0.5 : 0) -
                                   (many_forwarders(route) || wait_requested ? random_fraction() : 0));
    if (wait_requested) route.tokens_updated_at = route.wait_until;
    if (sent_at < route.last_pace_cut || route.rate <= 0 || oversubscribed(route)) return;
    route.last_pace_cut = now_;
    const double arrival_share = local_rate(route, std::chrono::seconds(1)) / route.rate;
    const double max_share =
        many_forwarders(route) ? even_share() : std::max(arrival_share, even_share() * 2);
    const double divisor = many_forwarders(route) ? kMinPaceDivisor : 2;
    route.pace_share =
        std::max(even_share() / divisor, std::min(route.pace_share, max_share) * kPaceDecreaseFactor);
  }
  // Where many forwarders share a limit, answers report whether it has room. Without room none exceeds its
  // even share; with it each gets back to that share within a few calls.
  void adjust_pace(Route& r, const LoadReport& report) {
    double step = std::min(kPaceIncrease, kFleetPaceIncrease / s_.forwarders);
    if (many_forwarders(r)) {
      const bool available = !report.present || report.allowance_left > kAllowanceAvailable;
      const bool exhausted =
          report.present && report.allowance_left < kAllowanceExhausted && r.pace_share > even_share();
      step = r.pace_share * (r.pace_share < even_share() ? kPaceStepBelowShare
                             : available                 ? kPaceStepAboveShare
                             : exhausted                 ? -kPaceStepAboveShare
                                                         : 0);
    }
    r.pace_share = std::min(1.0, r.pace_share + step);
  }
  void update_reported_limit(Route& r, double limit) {
    double& known = r.listed ? r.reported_limit : r.rate;
    const bool changed = known <= 0 || (r.listed && std::abs(limit - known) > kLimitChangeThreshold * known);
    known += (changed ? 1 : kLatencyWeight) * (limit - known);
  }
  double effective_limit(const Route& r) const {
    return r.listed && r.reported_limit > 0 && r.reported_limit < r.rate * (1 - kLimitChangeThreshold)
               ? r.reported_limit
               : r.rate;
  }
  bool many_forwarders(const Route& r) const {
    return s_.forwarders >= kManyForwarders && !oversubscribed(r);
  }
  double even_share() const { return 1 / static_cast<double>(s_.forwarders); }

  void finish_call(std::size_t id, const AttemptEnded& ended) {
    const Outcome outcome = ended.outcome;
    const bool connection_only = ended.connection_only;
    Call call = calls_.at(id);
    Endpoint& endpoint = endpoints_.at(call.endpoint);
    const Time duration = now_ - call.sent_at, stall = stall_time(*endpoint.route);
    // Share of overdue calls that are never answered. A call cancelled before it was overdue is not counted.
    if (duration >= (answered(outcome) ? stall / 2 : stall)) {
      unanswered_share_ =
          unanswered_share() + kUnansweredShareWeight * ((answered(outcome) ? 0 : 1) - unanswered_share());
      unanswered_share_at_ = now_;
    }
    endpoint.in_flight.erase(endpoint.in_flight.find(call.sent_at));
    --endpoint.route->in_flight;
    if (outcome == Outcome::delivered) {
      Route& r = *endpoint.route;
      const double answer_seconds = seconds(duration);
      const double step = r.answer_mean == 0 ? 1 : kLatencyWeight;  // the first answer sets the mean
      r.answer_deviation +=
          step *
          ((step == 1 ? answer_seconds / 2 : std::abs(answer_seconds - r.answer_mean)) - r.answer_deviation);
      r.answer_mean += step * (answer_seconds - r.answer_mean);
      // The logarithm limits the weight of slow answers.
      const double log_answer_seconds = std::log(std::max(1e-3, answer_seconds));
      usual_answer_log_ +=
          (usual_answer_log_ < kNoLimit ? kLatencyWeight : 1) * (log_answer_seconds - usual_answer_log_);
    }
    const bool answered_call = answered(outcome) && !connection_only;
    if (answered_call) endpoint.last_used = now_;
    if ((!answered_call || ended.connection_closed) && endpoint.connections > 0) --endpoint.connections;
    if (outcome == Outcome::connect_failed && !connection_only) mark_connections_scarce(endpoint, false);
    if (connections_scarce(endpoint)) close_idle_connections(endpoint);
    calls_.erase(id);
  }

  static bool answered(Outcome o) {
    return o == Outcome::delivered || o == Outcome::full || o == Outcome::error;
  }
  double unanswered_share() const {
    return unanswered_share_ *
           std::exp2(-seconds(now_ - unanswered_share_at_) / kUnansweredShareHalfLifeSeconds);
  }
  // How long a call may hold a slot that others need: the fewer overdue calls are answered, the shorter.
  Time max_slot_time(const Call& call, const Endpoint& e) const {
    const double stalls =
        (call.unsafe ? kTimeoutStallTimes : 1) * (stalled(e) || failing(e.health) ? 1 : kTimeoutStallTimes);
    return from_seconds(seconds(stall_time(*e.route)) * stalls * std::pow(2 * stalls, -unanswered_share()));
  }

  Time backoff_multiplier(const ClassSettings& c) const {
    return std::max(s_.resolution,
                    std::min(kMaxBackoffMultiplier, from_seconds(seconds(c.aim) * kBackoffMultiplierPerAim)));
  }
  Time min_backoff_multiplier() const {
    Time smallest = kMaxBackoffMultiplier;
    for (const ClassSettings& c : s_.classes) smallest = std::min(smallest, backoff_multiplier(c));
    return smallest;
  }
  double expected_answer_seconds(const Route& r) const {
    return r.answer_mean > 0 ? r.answer_mean : seconds(min_backoff_multiplier());
  }
  Time mean_answer_time(const Route& r) const { return from_seconds(r.answer_mean); }
  Time stall_time(const Route& r) const {
    if (r.answer_mean == 0) return min_backoff_multiplier() * 4;
    return std::max(min_backoff_multiplier(),
                    from_seconds(r.answer_mean + kStallDeviations * r.answer_deviation));
  }
  // A repeatable call is abandoned well after its answer is overdue; one that must not be repeated never is.
  Time attempt_timeout(const Route& r, const Message& m) const {
    if (m.class_settings->effect == Effect::unsafe) return m.deadline - now_;
    const Time timeout =
        std::max(from_seconds(seconds(stall_time(r)) * kTimeoutStallTimes), s_.connect_timeout * 2);
    return std::min(m.deadline - now_, timeout);
  }

  bool failing(const Health& h) const { return h.unhealthy && !h.recovering_since; }
  // Whether calls have been in flight for too long with no answer since: the endpoint is silent or hangs.
  bool stalled(const Endpoint& e) const {
    return !e.in_flight.empty() && *e.in_flight.begin() + stall_time(*e.route) <= now_ &&
           e.health.last_success < *e.in_flight.begin();
  }

  bool degraded(const Endpoint& e) const {
    return failing(e.health) || failing(e.route->health) || stalled(e);
  }
  bool holds_slots_long(const Endpoint& e) const {
    return degraded(e) || e.route->answer_mean > kSlowAnswerFactor * std::exp(usual_answer_log_);
  }
  // By call or by endpoint, whichever are fewer.
  std::size_t slot_holding_calls() const {
    std::size_t n = 0;
    if (calls_.size() <= endpoints_.size()) {
      for (const auto& [id, call] : calls_) n += holds_slots_long(endpoints_.at(call.endpoint)) ? 1 : 0;
      return n;
    }
    for (const auto& [id, e] : endpoints_) {
      if (!e.in_flight.empty() && holds_slots_long(e)) n += e.in_flight.size();
    }
    return n;
  }

  // Calls from all forwarders that a destination may get within the overload window at this moment.
  double slow_start_budget(const Health& h, double rate) const {
    double progress = h.recovering_since
                          ? seconds(now_ - *h.recovering_since) / std::max(1e-6, seconds(s_.slow_start_time))
                          : 0;
    double capacity = rate * (s_.slow_start_min_share + (1 - s_.slow_start_min_share) * progress) /
                      (s_.rates_approximate ? kApproximateRateFactor : 1);
    return s_.overload_factor * capacity * seconds(s_.overload_window);
  }
  // Where one call of each forwarder would be too much, probe calls are made at random times. They are rare
  // enough that all forwarders that may have messages waiting stay within the budget together: one such
  // forwarder for each call that the rate allowed since the outage began, and more where messages arrive in
  // bursts or the outage began before this forwarder noticed it.
  void schedule_probe_call(Health& h, double rate) {
    const double outage = seconds(std::max(s_.overload_window, now_ - h.failing_since));
    const double allowed = rate * outage, waiting = allowed + kBacklogDeviations * std::sqrt(allowed);
    h.last_probe_call = now_;
    h.probe_call_turns =
        (0.5 + random_fraction()) * (rate > 0 ? std::clamp(waiting, 1.0, 1.0 * s_.forwarders) : outage);
  }
  Time next_probe_call(const Health& h, double rate, std::size_t waiting) const {
    const double budget = slow_start_budget(h, rate > 0 ? rate : 1) * kMaxSlowStartShare + (rate > 0 ? 1 : 0);
    const double turns =
        h.probe_call_turns / (rate > 0 ? 1 : static_cast<double>(std::max<std::size_t>(1, waiting)));
    return h.last_probe_call + from_seconds(seconds(s_.overload_window) * turns / budget);
  }

  // Slow start after an outage: this forwarder's part of what the destination can take now. The first success
  // after the last failure counts as the destination's return. Each success without a refusal in between
  // earns one more call.
  Time next_budgeted_call(Health& h, double rate, std::size_t waiting) {
    if (h.unhealthy && h.recovering_since && now_ - *h.recovering_since >= s_.slow_start_time) {
      h.unhealthy = false;
      h.failure_share = h.uncertain_share = 0;
    }
    while (!h.recent_calls.empty() && h.recent_calls.front() + s_.overload_window <= now_)
      h.recent_calls.pop_front();
    if (!h.unhealthy) return now_;
    const double total = slow_start_budget(h, rate);
    if (total < s_.forwarders && s_.forwarders > 1) return std::max(now_, next_probe_call(h, rate, waiting));
    const double budget = std::max(
        total * even_share(), std::min(total * even_share() + h.earned_calls, total * kMaxSlowStartShare));
    if (static_cast<double>(h.recent_calls.size()) + 1 <= std::max(1.0, budget)) return now_;
    return h.recent_calls.front() + s_.overload_window;
  }

  // No more calls fit on the connections that the endpoint accepts. One more is tried now and then.
  bool connections_full(const Endpoint& e) const {
    const double extra_calls = seconds(now_ - e.connections_full_at) / seconds(e.connection_retry_interval);
    return static_cast<double>(e.in_flight.size()) >= e.max_in_flight + std::floor(extra_calls);
  }

  // Every send is checked here. Returns now_ if the message may be sent, else the time of the next check, or
  // kNever if only an event can make sending possible. Without a message, only the rules that apply to any
  // send are checked.
  Time earliest_send(Endpoint& e, const Message* m) {
    Route& r = *e.route;
    if (e.entry.condition != Condition::ready) return kNever;  // draining: nothing new from that event on
    Time earliest = std::max(now_, r.wait_until);              // requested wait: applies to every message
    if (open_call(e) == calls_.end()) {
      if (calls_.size() >= s_.slots) return kNever;
      if (r.in_flight >= static_cast<std::size_t>(r.window)) return kNever;
      if (connections_full(e)) return kNever;
      for (Health* h : {&e.health, &r.health}) {
        // The fleet's cap on backoff is reached: only the slow-start budget applies.
        if (backoff_exempt_.count(e.entry.endpoint)) break;
        earliest = std::max(earliest, h->backoff_until);
        std::size_t calls_in_flight = h == &e.health ? e.in_flight.size() : r.in_flight;
        if (failing(*h) && calls_in_flight > 0) return kNever;  // half-open: one probe call at a time
      }
      const Destination& d = destinations_.at(e.entry.destination);
      earliest = std::max(earliest, next_budgeted_call(r.health, r.rate, d.waiting.size()));
      const double siblings = has_separate_route(e.entry) ? 1 : static_cast<double>(d.endpoints.size());
      earliest = std::max(earliest, next_budgeted_call(e.health, r.rate / siblings, d.waiting.size()));
      if (stalled(e)) earliest = std::max(earliest, *e.in_flight.rbegin() + stall_time(r));
      if (holds_slots_long(e) && slot_holding_calls() >= share_of(s_.slots, kMaxUnhealthySlotShare))
        return kNever;
      earliest = std::max({earliest, next_token(r), r.next_turn});
    }
    if (m == nullptr) return earliest;
    earliest = std::max(earliest, m->not_before);
    if (m->attempts >= s_.max_attempts) return kNever;
    if (!recording_available_ && m->class_settings->effect != Effect::safe) return kNever;
    if (earliest + mean_answer_time(r) > m->deadline) return kNever;
    // A call cut off by the end of the process would leave its effect unknown.
    if (earliest + (m->class_settings->effect == Effect::safe ? mean_answer_time(r) : stall_time(r)) >
        shutdown_at_)
      return kNever;
    if (m->class_settings->sequential && m->arrival.key != 0) {
      const KeyQueue& queue = keys_.at(m->arrival.key);
      if (queue.messages.front() != m->arrival.id) return kNever;
      earliest = std::max(earliest, queue.quiet_until);
    }
    if (m->may_have_run) {
      if (m->class_settings->effect == Effect::unsafe) return kNever;
      const bool zone_scoped =
          m->class_settings->effect == Effect::keyed && m->class_settings->key_scope == KeyScope::zone;
      if (zone_scoped && e.entry.zone != m->uncertain_zone) return kNever;
    }
    if (earliest > latest_start(*m)) return kNever;
    // A message that cannot be repeated is held back while calls here may fail with unknown effect.
    const double uncertain_share = std::max(e.health.uncertain_share, r.health.uncertain_share);
    if (m->class_settings->effect == Effect::unsafe &&
        (uncertain_share >= kMaxUncertainShareForUnsafe || stalled(e))) {
      Time last_chance = m->deadline - stall_time(r);
      if (last_chance > earliest) earliest = last_chance;
    }
    return earliest;
  }

  // Messages sent to one endpoint at the same time share a call where its kind allows it.
  std::map<std::size_t, Call>::iterator open_call(const Endpoint& e) {
    std::size_t batch = e.entry.kind < s_.kinds.size() ? s_.kinds[e.entry.kind].max_batch : 1;
    if (batch < 2 || e.in_flight.empty() || *e.in_flight.rbegin() != now_) return calls_.end();
    for (auto it = calls_.rbegin(); it != calls_.rend() && it->second.sent_at == now_; ++it) {
      if (it->second.endpoint == e.entry.endpoint && it->second.messages < batch) return std::prev(it.base());
    }
    return calls_.end();
  }

  double pace(const Route& r) const { return effective_limit(r) * r.pace_share; }
  Time next_token(Route& r) {
    if (r.rate <= 0) return now_;
    if (r.tokens_updated_at > now_) return r.tokens_updated_at;
    if (r.tokens_updated_at > kLongAgo) r.tokens += pace(r) * seconds(now_ - r.tokens_updated_at);
    r.tokens = std::min(r.tokens, std::max(1.0, pace(r) * r.burst_seconds));
    r.tokens_updated_at = now_;
    return r.tokens >= 1 ? now_ : now_ + from_seconds((1 - r.tokens) / pace(r)) + Time(1);
  }

  double worth_at(const Message& m, Time t) const {
    const ClassSettings& c = *m.class_settings;
    if (t >= m.deadline) return 0;
    double late = seconds(t - m.first_submitted - c.aim);
    if (late <= 0) return c.worth;
    if (s_.late_worth_decay == LateWorthDecay::exponential) {
      return c.worth * std::max(c.late_worth, std::exp2(-late / std::max(1e-3, seconds(c.aim))));
    }
    double span = std::max(1e-3, seconds(c.deadline - c.aim));
    return c.worth * (1 - (1 - c.late_worth) * std::min(1.0, late / span));
  }

  // Prefers the least busy endpoint, in the local zone if crossing has a price, over an open connection.
  // Without the tie-breaker all forwarders would start with the same endpoint and stay on its connection.
  std::tuple<double, Time, std::uint64_t> rank(const Endpoint& e) const {
    double cost = static_cast<double>(e.in_flight.size()) + 4 * e.health.failure_share;
    if (e.entry.zone != s_.zone && s_.cross_zone_price > 0) cost += 1;
    return {has_open_connection(e) ? cost : cost + 0.5, e.last_used, e.tie_breaker};
  }
  bool has_open_connection(const Endpoint& e) const {
    if (e.connections == 0) return false;
    const bool room = e.connections * s_.calls_per_connection > e.in_flight.size();
    return room && (!e.in_flight.empty() || now_ - e.last_used < s_.connection_idle_timeout);
  }
  std::size_t connections_needed(std::size_t calls) const {
    return (calls + s_.calls_per_connection - 1) / s_.calls_per_connection;
  }
  // Idle connections of many forwarders could use up the few that endpoints of a kind accept. A connection
  // that was refused for lack of room is sure evidence: for a while no connection is kept that would be
  // mostly idle. A failed connect may be such a refusal or a crash: no connection is kept that would rarely
  // be reused before its idle timeout.
  bool connections_scarce(const Endpoint& e) const {
    const auto it = scarce_until_.find(e.entry.kind);
    if (it == scarce_until_.end()) return false;
    if (now_ < it->second.second)
      return local_rate(*e.route, kMaxBackoffMultiplier) * expected_answer_seconds(*e.route) <
             kMinConnectionUtilization;
    const double used = seconds(s_.connection_idle_timeout) * arrivals_ / (seconds(now_ - started_) + 1);
    return used < static_cast<double>(endpoints_.size()) && now_ < it->second.first;
  }
  void close_idle_connections(Endpoint& e) {
    if (e.connections <= connections_needed(e.in_flight.size())) return;
    emit(CloseIdleConnections{e.entry.endpoint});
    e.connections = connections_needed(e.in_flight.size());
  }
  void mark_connections_scarce(const Endpoint& failed, bool certain) {
    const bool already_scarce = connections_scarce(failed);
    auto& [probably_until, certainly_until] = scarce_until_[failed.entry.kind];
    (certain ? certainly_until : probably_until) =
        now_ + s_.connection_idle_timeout * kConnectionFindingIdleTimeouts;
    if (already_scarce || !connections_scarce(failed)) return;
    for (auto& [id, e] : endpoints_) {
      if (e.entry.kind == failed.entry.kind) close_idle_connections(e);
    }
  }

  void dispatch() {
    enforce_capacity();
    free_slots();
    double slot_seconds = 0;  // needed by all waiting messages
    for (DestinationId id :
         std::vector<DestinationId>(waiting_destinations_.begin(), waiting_destinations_.end())) {
      Destination& d = destinations_.at(id);
      give_up(d);
      const double answer =
          d.endpoints.empty() ? 0 : expected_answer_seconds(*endpoints_.at(*d.endpoints.begin()).route);
      slot_seconds += static_cast<double>(d.waiting.size()) * answer;
    }
    const double slots_drain = slot_seconds / static_cast<double>(s_.slots);
    std::map<DestinationId, Choice> choices;
    for (DestinationId id : waiting_destinations_) choices[id] = choose(destinations_.at(id), slots_drain);
    while (true) {
      const auto less_gain = [](const auto& a, const auto& b) { return a.second.gain < b.second.gain; };
      const auto best = std::max_element(choices.begin(), choices.end(), less_gain);
      if (best == choices.end() || !best->second.message) break;
      Choice& choice = best->second;
      if (earliest_send(*choice.endpoint, choice.message) <= now_) {
        send(*choice.message, *choice.endpoint);
        dequeue(*choice.message);
      }
      choice = choose(destinations_.at(best->first), slots_drain);
    }
  }

  // The message to send next to a destination: the one that loses the most worth by waiting for all others.
  struct Choice {
    Message* message = nullptr;
    Endpoint* endpoint = nullptr;
    double gain = -1;  // below that of any message
  };

  Choice choose(Destination& d, double slots_drain) {
    Choice best;
    if (d.waiting.empty()) return best;
    std::vector<Endpoint*> open_endpoints;
    double rate = 0;
    for (EndpointId id : d.endpoints) {
      Endpoint& e = endpoints_.at(id);
      Time t = earliest_send(e, nullptr);
      if (t <= now_) open_endpoints.push_back(&e);
      if (t > now_ && t < kNever) wake_at(t);
      rate = std::max(rate, pace(*e.route));
    }
    if (open_endpoints.empty()) return best;
    const double drain = std::max(slots_drain, static_cast<double>(d.waiting.size()) / std::max(0.1, rate));
    std::pair<double, Time> best_order;
    for (Message* waiting : d.waiting) {
      Message& m = *waiting;
      if (m.not_before > now_) {
        wake_at(m.not_before);
        continue;
      }
      const double loss = worth_at(m, now_) - worth_at(m, now_ + from_seconds(drain));
      // Ties go to the message whose aim is earliest.
      const std::pair order(loss, -(m.first_submitted + m.class_settings->aim));
      if (best.message && order <= best_order) continue;
      Endpoint* endpoint = choose_endpoint(open_endpoints, m);
      if (!endpoint) continue;
      best = Choice{&m, endpoint, loss / expected_answer_seconds(*endpoint->route)};
      best_order = order;
    }
    return best;
  }

  Endpoint* choose_endpoint(const std::vector<Endpoint*>& open_endpoints, const Message& m) {
    Endpoint* best = nullptr;
    for (Endpoint* e : open_endpoints) {
      const Time t = earliest_send(*e, &m);
      if (t > now_ && t < kNever) wake_at(t);
      if (t <= now_ && (!best || rank(*e) < rank(*best))) best = e;
    }
    return best;
  }

  void send(Message& m, Endpoint& e) {
    Route& r = *e.route;
    auto call = open_call(e);
    if (call == calls_.end()) {
      call = calls_.emplace(++last_call_id_, Call{e.entry.endpoint, now_, 0, 0}).first;
      if (!has_open_connection(e)) e.connections = connections_needed(e.in_flight.size() + 1);
      e.in_flight.insert(now_);
      ++r.in_flight;
      r.tokens -= 1;
      if (turns_active(r)) r.next_turn = now_ + jittered(r.turn_spacing);
      for (Health* h : {&r.health, &e.health}) {
        h->recent_calls.push_back(now_);
        if (h->unhealthy) schedule_probe_call(*h, r.rate);
      }
    }
    call->second.unsafe |= m.class_settings->effect == Effect::unsafe;
    ++call->second.messages;
    ++call->second.pending;
    m.call_id = call->first;
    m.sent_at = now_;
    ++m.attempts;
    emit(Send{m.arrival.id, e.entry.endpoint, attempt_timeout(r, m), max_idle(), latest_start(m) - now_});
  }

  // Ends a waiting message at once if no endpoint can take it in the time left. To bound the cost of an
  // event, the waiting messages are checked only when one of them is due, and otherwise at intervals.
  void give_up(Destination& d) {
    if (now_ < d.next_check) return wake_at(d.next_check);
    d.next_check = now_ + kMaxCheckInterval;
    std::vector<Message*> expired;
    for (Message* m : d.waiting) {
      const Time give_up_time = give_up_at(d, *m);
      if (give_up_time <= now_) expired.push_back(m);
      if (give_up_time > now_) d.next_check = std::min(d.next_check, give_up_time);
    }
    wake_at(d.next_check);
    for (Message* m : expired) end_undelivered(*m, d);
  }

  // Keeps held messages from using up the capacity: ends the message that would be worth least after waiting
  // as long again.
  void enforce_capacity() {
    const std::size_t limit =
        s_.max_held - std::min(s_.max_held - 1, share_of(s_.max_held, kCapacityReserve));
    auto later_worth = [this](const Message& m) { return worth_at(m, now_ + (now_ - m.first_submitted)); };
    while (messages_.size() > limit) {
      std::pair<double, Message*> lowest{kNoLimit, nullptr};
      for (DestinationId id : waiting_destinations_) {
        for (Message* m : destinations_.at(id).waiting) {
          if (const double worth = later_worth(*m); worth < lowest.first) lowest = {worth, m};
        }
      }
      if (!lowest.second) return;
      end_undelivered(*lowest.second, destinations_.at(lowest.second->arrival.destination), true);
    }
  }

  // Calls without an answer could hold every slot, or every connection that an endpoint accepts, while
  // messages wait. Cancels the most overdue call, although its answer may be about to arrive.
  void free_slots() {
    if (!s_.can_cancel || waiting_destinations_.empty()) return;
    bool slot_needed = false;
    for (auto id = waiting_destinations_.begin();
         id != waiting_destinations_.end() && calls_.size() >= s_.slots; ++id) {
      for (EndpointId endpoint : destinations_.at(*id).endpoints)
        slot_needed |= !degraded(endpoints_.at(endpoint));
    }
    if (!slot_needed && !waits_for_connection()) return;
    std::pair<double, std::size_t> most_overdue{1, 0};
    // A call may count as stalled by then.
    Time next = slot_needed ? now_ + min_backoff_multiplier() / 2 : kNever;
    for (const auto& [id, call] : calls_) {
      if (call.cancelled) return;  // one at a time: its slot is about to become free
      const Endpoint& e = endpoints_.at(call.endpoint);
      if (!slot_needed && !(waiting_destinations_.count(e.entry.destination) && connections_full(e)))
        continue;
      const Time max_time = max_slot_time(call, e);
      next = std::min(next, call.sent_at + max_time + Time(1));
      most_overdue = std::max(most_overdue, std::pair(seconds(now_ - call.sent_at) / seconds(max_time), id));
    }
    if (most_overdue.second == 0) return wake_at(std::max(next, now_ + s_.resolution));
    calls_.at(most_overdue.second).cancelled = true;
    for (const auto& [id, m] : messages_) {
      if (m.call_id == most_overdue.second) emit(Cancel{id, m.attempts - 1});
    }
  }

  // Whether messages wait for a destination with an endpoint whose connections are all in use.
  bool waits_for_connection() const {
    return std::any_of(waiting_destinations_.begin(), waiting_destinations_.end(), [this](DestinationId id) {
      const std::set<EndpointId>& all = destinations_.at(id).endpoints;
      return std::any_of(all.begin(), all.end(),
                         [this](EndpointId endpoint) { return connections_full(endpoints_.at(endpoint)); });
    });
  }

  // Repeats are dropped only within the deduplication window, so a repeat has to begin within it, however
  // long its connection takes.
  Time latest_start(const Message& m) const {
    const bool deduplicated = m.may_have_run && m.class_settings->effect == Effect::keyed;
    return deduplicated ? std::min(m.deadline, m.uncertain_since + m.class_settings->dedup_window)
                        : m.deadline;
  }
  Time give_up_at(const Destination& d, const Message& m) const {
    const Time latest = latest_send(d, m);
    return std::max(now_, m.not_before) >= latest ? now_ : latest;
  }
  Time latest_send(const Destination& d, const Message& m) const {
    if (m.attempts >= s_.max_attempts) return now_;
    if (m.may_have_run && m.class_settings->effect == Effect::unsafe) return now_;
    Time latest = latest_start(m);
    Time answer_time = kNever, wait_until = kNever;
    for (EndpointId id : d.endpoints) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::ready) continue;
      answer_time = std::min(answer_time, mean_answer_time(*e.route));
      wait_until = std::min(wait_until, e.route->wait_until);
    }
    // No endpoint is ready now; the list may add one.
    if (answer_time == kNever) return m.deadline - s_.resolution * 2;
    latest = std::min(latest, m.deadline - std::max(answer_time, s_.resolution * 2));
    return wait_until >= latest ? now_ : latest;
  }

  void end_undelivered(Message& m, const Destination& d, bool for_capacity = false) {
    bool may_refuse =
        !m.may_have_run || m.class_settings->effect == Effect::safe ||
        (m.class_settings->effect == Effect::keyed && m.class_settings->key_scope == KeyScope::all);
    const GiveUpReason reason = for_capacity                    ? GiveUpReason::capacity
                                : m.attempts >= s_.max_attempts ? GiveUpReason::attempts
                                : may_refuse                    ? GiveUpReason::deadline
                                                                : GiveUpReason::uncertain;
    may_refuse ? emit(Refuse{m.arrival.id, retry_after(d), reason}) : emit(Fail{m.arrival.id, reason});
    end(m);
  }

  Time retry_after(const Destination& d) const {
    if (!s_.can_send_retry_after) return Time(0);
    Time earliest = now_ + s_.max_retry_after;
    for (EndpointId id : d.endpoints) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::ready) continue;
      const Route& r = *e.route;
      earliest = std::min(
          earliest, std::max({r.wait_until, r.next_turn, e.health.backoff_until, r.health.backoff_until}));
    }
    return std::min(std::max(min_backoff_multiplier(), earliest - now_), s_.max_retry_after);
  }

  // Ends the message; its record is kept while one of its calls is in flight.
  void end(Message& m) {
    m.ended = true;
    if (m.call_id != 0) return;
    MessageId id = m.arrival.id;
    dequeue(m);
    if (m.class_settings->sequential && m.arrival.key != 0) {
      std::erase(keys_.at(m.arrival.key).messages, id);
      if (keys_.at(m.arrival.key).messages.empty())
        quiet_keys_.emplace_back(now_ + s_.key_quiet_time, m.arrival.key);
    }
    messages_.erase(id);
  }

  void wake_at(Time t) { next_wake_ = std::min(next_wake_, t); }
  void set_timer() {
    if (s_.list_on_request) wake_at(next_list_request_);
    if (next_wake_ < timer_at_ && next_wake_ < kNever) {
      timer_at_ = std::max(next_wake_, now_ + Time(1));
      emit(SetTimer{timer_at_, 0});
    }
    next_wake_ = kNever;
  }

  const Settings s_;
  std::mt19937_64 random_;
  Time now_{}, started_{};
  std::vector<Action>* actions_ = nullptr;
  std::map<std::pair<DestinationId, std::optional<EndpointId>>, Route> routes_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::set<DestinationId> waiting_destinations_;  // those with waiting messages
  std::map<MessageId, Message> messages_;
  std::map<std::size_t, Call> calls_;
  std::map<std::uint64_t, KeyQueue> keys_;
  std::set<EndpointId> removed_;  // endpoints that are gone but still have a record
  std::deque<std::pair<Time, std::uint64_t>>
      quiet_keys_;  // keys without messages, with the time at which their record may be removed
  std::size_t last_call_id_ = 0;
  std::array<ConnectionLoss, 11> idle_connection_losses_;  // by class of idle times
  ConnectionLoss new_connection_losses_;
  Time last_connection_loss_ = kLongAgo;
  // By kind, until when idle connections are not kept: first where one may have found no room, second where
  // one surely did.
  std::map<std::uint32_t, std::pair<Time, Time>> scarce_until_;
  double unanswered_share_ = 0;  // as of unanswered_share_at_
  Time unanswered_share_at_{};
  double usual_answer_log_ = kNoLimit;  // mean of the logarithm of answer times in seconds
  double arrivals_ = 0;                 // messages since the start of the process
  double listed_rate_ = 0;              // sum over all routes
  std::size_t log_messages_ = 0;
  int list_failures_ = 0;
  Time next_list_request_ = kNever, next_wake_ = kNever, timer_at_ = kNever, shutdown_at_ = kNever;
  std::set<EndpointId> backoff_exempt_;  // endpoints that must not back off
  bool recording_available_ = true;      // whether the caller can record attempts
};

Forwarder::Forwarder(const Settings& settings) : policy_(std::make_unique<Policy>(settings)) {}
Forwarder::~Forwarder() = default;
Forwarder::Forwarder(Forwarder&&) noexcept = default;
Forwarder& Forwarder::operator=(Forwarder&&) noexcept = default;
std::size_t Forwarder::record_count() const { return policy_->record_count(); }
std::vector<DegradedEndpoint> Forwarder::degraded_endpoints() const { return policy_->degraded_endpoints(); }
void Forwarder::start(Time now, std::vector<Action>& actions) { policy_->start(now, actions); }
void Forwarder::handle(Time now, const Event& event, std::vector<Action>& actions) {
  policy_->handle(now, event, actions);
}

}  // namespace starlinghook

#include "delivery_snapshot.hpp"
