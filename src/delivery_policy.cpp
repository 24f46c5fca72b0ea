// Every decision of the module. docs/design.md tells the ordinary path; what goes beyond it is marked here.
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

constexpr double kBackoffMultiplierPerAim =
    0.25;  // multiplier of the linear wait, as a share of the class's aim
constexpr Time kMaxBackoffMultiplier = milliseconds(1500);  // and at most the source's own 1.5 s
constexpr double kMaxWindowSlotShare = 0.75;  // share of the slots that one destination may hold
constexpr double kMaxUnhealthySlotShare =
    0.5;                              // share of the slots that all failing destinations may hold together
constexpr int kMaxBackoffFactor = 4;  // a failing destination rests multiplier x failures, up to so many
constexpr int kUnhealthyConsecutiveFailures =
    3;  // failures in a row that make a destination count as failing
constexpr double kUnhealthyFailureShare =
    0.5;  // share of failures that does so, and above which it is still failing
constexpr double kFailureShareWeight = 0.25;  // weight of the newest outcome in the share of failures
constexpr double kMaxUncertainShareForUnsafe =
    0.2;  // share of doubtful failures above which unsafe messages are held back
constexpr int kUnavailableConsecutiveRefusals =
    5;  // refusals without a success between them that tell a shut destination
constexpr double kLatencyWeight = 0.125;  // weight of the newest answer in the mean time of an answer
constexpr double kStallDeviations = 6;    // a call is late after mean + so many mean deviations
constexpr double kTimeoutStallTimes = 3;  // a repeatable call is timed out after so many times that
constexpr double kUnansweredShareWeight =
    0.1;  // weight of the newest overdue call in the share of those never answered
constexpr double kUnansweredShareHalfLifeSeconds = 10;  // seconds in which that share halves
constexpr double kPaceDecreaseFactor = 0.75;  // part of the pace kept after a refusal above the limit
constexpr double kPaceIncrease = 0.02, kFleetPaceIncrease = 0.08;  // by a delivery; by one at each forwarder
constexpr std::uint32_t kManyForwarders = 10;  // so many forwarders see too little each to find their parts
constexpr double kMaxInitialEvenShares = 4;  // even parts that one of many may take before it is told of less
constexpr double kMinPaceDivisor = 8;        // part of the even part kept where all is refused
constexpr double kAllowanceAvailable = 0.3,
                 kAllowanceExhausted = 0.1;  // of an allowance: over the one more is asked for
constexpr double kPaceStepAboveShare = 0.1,
                 kPaceStepBelowShare = 0.4;     // by so much, each answer, and up to the even part
constexpr double kLimitChangeThreshold = 0.25;  // a limit that differs by more is another one
constexpr double kBatchBurstFactor = 2;         // longer bursts where a call may carry several messages
constexpr double kBurstSeconds = 0.5;           // calls that may leave at once, in seconds of the pace
constexpr double kApproximateRateFactor = 1.5;  // a rough rate may be this many times too high
constexpr double kCapacityReserve = 0.1;        // share of the holding room kept free for what comes next
constexpr double kMaxSlowStartShare =
    0.66;  // of a cold destination's budget that one forwarder earns at most
constexpr double kBacklogDeviations =
    5;  // an outage may hold so many spreads more messages than the rate tells
constexpr double kMinCallsPerSecondEach =
    0.1;  // many share a limit when their even part is under so many calls a second
constexpr double kAssumedUtilization = 0.8;  // all traffic is taken to be this share of all listed rates
constexpr int kConnectionFindingIdleTimeouts =
    4;  // connections are kept for this part of the idle time that failed
constexpr double kMinConnectionUtilization = 0.5;  // a connection that is in use for less of the time
constexpr Time kMinIdleBucket = milliseconds(25);  // idle times are told apart from here on, by twos
constexpr double kLossShareWeight =
    0.02;                            // weight of the newest call in the share lost with their connection
constexpr double kMinLostCalls = 3;  // so many lost calls tell a risk
constexpr double kMaxExcessLossShare =
    0.08;  // share of lost calls over that on new connections that is avoided
constexpr int kTurnSpacingGrowth =
    4;  // each refusal makes the spread of turns so many times wider, and keeps them
constexpr Time kMaxCheckInterval = milliseconds(100);  // at what waits for a destination, at the latest
constexpr std::size_t kMaxLogMessages = 60;            // log lines in one life at most

constexpr double kSlowAnswerFactor =
    3;  // a destination that takes so many times the usual may hold half the slots
constexpr double kNoLimit = 1e9;
constexpr int kConnectionRetryDivisor = 4;  // one more call is tried after this part of the overload time
constexpr Time kNever = Time::max(), kLongAgo = Time::min() / 2;

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }
Time from_seconds(double s) { return Time(std::llround(std::clamp(s, 0.0, 1e9) * 1e6)); }
std::size_t share_of(std::size_t slots, double share) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(slots) * share));
}

// Destination memory: what calls have told of the health of an endpoint, or of a route as a whole.
struct Health {
  int consecutive_failures = 0;  // failures since the last success
  int consecutive_refusals = 0;  // refusals since the last success
  Time refused_since{};          // when that run of refusals began
  double failure_share = 0;      // recent share of failures
  double uncertain_share = 0;    // recent share of failures that may have taken effect
  bool unhealthy = false;        // in an outage, or cold after it
  double earned_calls = 0;  // calls added to the cold budget by successes since the last failure or refusal
  Time backoff_until = kLongAgo, last_success = kLongAgo;
  std::optional<Time> recovering_since;  // first success after the last failure; starts the cold time
  Time failing_since{};
  Time last_probe_call = kLongAgo;  // where many share the cold budget
  double probe_call_turns = 0;      // of others before the next, for one waiting message
  std::vector<Time> recent_calls;   // calls of the last overload_time
};

struct Route {
  double rate = 0;      // calls a second from all forwarders, as listed or reported; 0 = not told
  bool listed = false;  // by the list
  double arrivals = 0;  // messages of this life that it could take
  Health health;
  std::size_t in_flight = 0;
  double window = 1;  // congestion window, in calls
  Time last_window_cut = kLongAgo, last_pace_cut = kLongAgo;
  Time wait_until = kLongAgo;  // told by the destination
  double reported_limit = 0;   // limit that answers report; holds where clearly under a listed rate
  double pace_share = 1;       // of the limit
  double burst_seconds = kBurstSeconds;
  double tokens = 1;
  Time tokens_updated_at = kLongAgo;
  Time last_refusal = kLongAgo;                  // the newest refusal, where many share the limit
  Time next_turn = kLongAgo;                     // this forwarder's next call after it
  Time turn_spacing{};                           // between its turns
  double answer_mean = 0, answer_deviation = 0;  // seconds; 0 until the first answer
};

struct Endpoint {
  EndpointEntry entry;
  Route* route = nullptr;
  Health health;
  std::multiset<Time> in_flight;  // calls in flight, by the time they were sent
  std::size_t connections = 0;
  double max_in_flight = kNoLimit;           // calls that its limit on connections leaves room for
  Time connections_full_at = kLongAgo;       // when that was seen last
  Time connection_retry_interval = Time(1);  // from then on one more call is tried after each such time
  Time last_used = kLongAgo;
  std::uint64_t tie_breaker = 0;  // decides between equals, another order at each forwarder
};

struct Message {
  MessageArrived arrival;
  const ClassSettings* class_settings = nullptr;
  Time first_submitted{};  // by the client for the first time
  Time deadline{};
  Time not_before{};  // backoff or told wait
  bool ended = false, may_have_run = false;
  std::uint32_t attempts = 0;
  Time uncertain_since{};  // send of the first attempt that may have run
  std::uint32_t uncertain_zone = 0;
  Time sent_at{};
  std::size_t call_id = 0;
};

struct Call {
  EndpointId endpoint = 0;
  Time sent_at{};
  std::size_t messages = 0;  // messages in it
  std::size_t pending = 0;   // of these without an outcome
  bool unsafe = false;       // carries a message that cannot be repeated
  bool cancelled = false;
};

// Calls that were lost because their connection broke, among those that went over connections of one kind.
struct ConnectionLoss {
  double calls = 0, lost = 0;
  double share() const { return lost / std::max(1.0, calls); }
};

struct KeyQueue {
  std::deque<MessageId> messages;  // in the order of arrival
  Time quiet_until = kLongAgo;
};

struct Destination {
  std::vector<Message*> waiting;  // they stay where they are
  Time next_check = kLongAgo;     // when one that waits may have to be given up, or sooner
  std::set<EndpointId> endpoints;
};

}  // namespace

class Forwarder::Policy {
 public:
  explicit Policy(const Settings& s) : s_(s), random_(s.seed) {}

  void start(Time now, std::vector<Action>& out) {
    now_ = started_ = now;
    actions_ = &out;
    if (s_.list_on_request) request_list();
    set_timer();
  }

  template <class A>
  void serialize_state(A& archive);
  std::vector<DegradedEndpoint> degraded_endpoints() const {
    std::vector<DegradedEndpoint> all;
    for (const auto& [id, e] : endpoints_) {
      const Route& r = *e.route;
      const bool fails = failing(e.health) || failing(r.health),
                 cold = e.health.unhealthy || r.health.unhealthy;
      if (e.entry.condition != Condition::ready || !(fails || cold || effective_limit(r) * 2 < r.rate))
        continue;
      all.push_back({id,
                     fails  ? DegradationKind::failing
                     : cold ? DegradationKind::slow_start
                            : DegradationKind::reduced_limit,
                     e.health.failure_share});
    }
    return all;
  }
  std::size_t record_count() const {
    return messages_.size() + calls_.size() + endpoints_.size() + keys_.size();
  }

  void handle(Time now, const Event& event, std::vector<Action>& out) {
    now_ = now;
    actions_ = &out;
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
    bool doubtful = e.outcome == Outcome::error || e.outcome == Outcome::timeout ||
                    e.outcome == Outcome::reset || e.outcome == Outcome::cancelled;
    if (doubtful && !m.may_have_run) {
      m.may_have_run = true;
      m.uncertain_since = m.sent_at;
      m.uncertain_zone = endpoint.entry.zone;
    }
    if (m.class_settings->sequential && m.arrival.key != 0 && doubtful && e.outcome != Outcome::error) {
      Time& quiet = keys_[m.arrival.key].quiet_until;  // the work may still go on
      quiet = std::max(quiet, now_ + s_.key_quiet_time);
    }
    if (e.outcome == Outcome::not_sent) endpoint.route->tokens += 1;  // it used nothing of the limit up
    if (e.finished || m.ended) return end(m);
    // The linear wait of the source, or the wait told.
    m.not_before =
        now_ + (e.retry_after > Time(0) ? e.retry_after : backoff_multiplier(*m.class_settings) * m.attempts);
    const bool no_place = e.outcome == Outcome::full && endpoint.connections_full_at == now_;
    if (e.outcome == Outcome::not_sent || no_place) m.not_before = now_ + s_.resolution;
    enqueue(m);
  }

  void on(const ProbeEnded& e) { endpoints_.at(e.endpoint); }  // none is sent: relays may not probe

  void on(const ListChanged& e) {
    if (e.full) {
      std::set<EndpointId> named;
      for (const EndpointEntry& entry : e.entries) named.insert(entry.endpoint);
      for (auto& [id, endpoint] : endpoints_) {
        if (named.count(id)) continue;
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
      // Guards an endpoint whose drain is taken back, as by a health check: it may be cold. Shortens nothing.
      const bool up = endpoint.entry.condition == Condition::draining && entry.condition == Condition::ready;
      if (up && !failing(endpoint.health))
        endpoint.health.unhealthy = true, endpoint.health.recovering_since = now_;
      endpoint.entry = entry;
      if (entry.condition == Condition::gone) removed_.insert(entry.endpoint);
      endpoint.route = &routes_[key];
      const bool batches = entry.kind < s_.kinds.size() && s_.kinds[entry.kind].max_batch > 1;
      endpoint.route->burst_seconds = batches ? kBurstSeconds * kBatchBurstFactor : kBurstSeconds;
      if (entry.rate > 0) {
        listed_rate_ += entry.rate - endpoint.route->rate;
        endpoint.route->rate = entry.rate;  // a removal need not repeat it
        if (!std::exchange(endpoint.route->listed, true) && many_forwarders(*endpoint.route))
          endpoint.route->pace_share = std::min(1.0, even_share() * kMaxInitialEvenShares);
      }
      destinations_[entry.destination].endpoints.insert(entry.endpoint);
      destinations_[entry.destination].next_check = kLongAgo;
    }
    list_failures_ = 0;
  }

  // Guards the memory of a long life. A destination's health stays with its route.
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
    const bool after = failing(endpoint.health), whole = failing(endpoint.route->health) != route_before;
    if (after == before && !whole) return;
    log("endpoint " + std::to_string(endpoint.entry.endpoint) +
        (before ? " answers again: slow start" : " failing: rests, trials only"));
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
        // Guards against an endpoint's limit on connections being taken for one on calls: it says so, or a
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
        // A time-out beside calls that were answered meanwhile is a slow message, no sign of an outage.
        if (e.outcome == Outcome::timeout && endpoint.health.last_success > sent_at) break;
        // Guards against connections that break being taken for an outage: a kept one tells nothing, since
        // the next call opens a new one; a new one that came up is no refused one.
        if (e.connection_only && e.connection_idle > Time(0)) break;
        const Outcome sign = e.connection_only ? Outcome::error : e.outcome;
        record_failure(endpoint.health, sign, route.rate);
        if (sign != Outcome::connect_failed || !has_working_sibling(endpoint))
          record_failure(route.health, sign, route.rate);
        if (sign != Outcome::error) shrink_window(route, sent_at);
        break;
      }
      default:
        break;
    }
  }

  // Whether a refusal may be one of a new connection: it closed unasked behind the answer, which says nothing
  // of load.
  static bool may_be_connection_limit(const AttemptEnded& e) {
    const bool closed_unasked = e.connection_closed && !e.close_requested;
    return e.connection_idle == Time(0) && closed_unasked && e.retry_after == Time(0) && !e.report.present;
  }
  // Guards against a whole destination resting for one endpoint that is gone before the list has told it.
  bool has_working_sibling(const Endpoint& gone) const {
    const auto& all = destinations_.at(gone.entry.destination).endpoints;
    return std::any_of(all.begin(), all.end(), [&](EndpointId id) {
      const Endpoint& e = endpoints_.at(id);
      return &e != &gone && e.entry.condition == Condition::ready && !failing(e.health) &&
             e.health.last_success > kLongAgo;
    });
  }
  // Guards against kept connections that are dropped unseen after a short idle time: from where calls are
  // lost on them clearly more often than on new ones, new ones are opened, for a while.
  void record_connection_loss(const AttemptEnded& e) {
    if (e.connection_idle < Time(0) || !(answered(e.outcome) || e.connection_only)) return;
    const std::size_t twos = std::bit_width(static_cast<std::uint64_t>(e.connection_idle / kMinIdleBucket));
    ConnectionLoss& risk = e.connection_idle == Time(0)
                               ? new_connection_losses_
                               : idle_connection_losses_[std::min(twos, idle_connection_losses_.size() - 1)];
    risk.calls += 1 - kLossShareWeight * risk.calls;
    const bool lost = e.connection_only && e.outcome != Outcome::full;
    risk.lost += (lost ? 1 : 0) - kLossShareWeight * risk.lost;
    if (lost) last_connection_loss_ = now_;
  }
  Time max_idle() {
    if (last_connection_loss_ + s_.connection_idle_timeout * kConnectionFindingIdleTimeouts < now_)
      idle_connection_losses_ = {};  // looked at anew after a while
    Time least = kMinIdleBucket / 2;
    for (const ConnectionLoss& risk : idle_connection_losses_) {
      if (risk.lost >= kMinLostCalls && risk.share() > new_connection_losses_.share() + kMaxExcessLossShare)
        return least;
      least *= 2;
    }
    return kNever;
  }

  // Guards against very many forwarders striking a small limit, or a shut destination, with few calls each:
  // turns spread with each refusal, to an even part and, refused twice, to what a cold destination stands.
  bool oversubscribed(const Route& r) const {
    return s_.forwarders > 1 &&
           r.rate < kMinCallsPerSecondEach * s_.forwarders;  // also where no rate is told
  }
  // Messages a second that come to this forwarder for the route, as if its life had been longer by `before`.
  double local_rate(const Route& r, Time before) const {
    return std::max(1.0, r.arrivals) / seconds(now_ - started_ + before);
  }
  // Between two calls, when each forwarder takes its part of the limit: the part of all traffic that it has.
  Time fair_call_interval(const Route& r) const {
    const double traffic = (arrivals_ + 1) / (seconds(now_ - started_) + 1);
    double part = std::min(1.0, traffic / std::max(1e-3, listed_rate_ * kAssumedUtilization));
    // No rate told: its own is its part; one message early in a life tells of no high one.
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
    // Tries again at a return must not outnumber new messages, nor a refused clump come back as one: they are
    // spread evenly over the orders of time from the source's own multiplier to this forwarder's even part.
    const double least =
        seconds(turns_active(r) ? r.turn_spacing * kTurnSpacingGrowth : kMaxBackoffMultiplier);
    const int longer =
        r.health.consecutive_refusals > 1 ? kTurnSpacingGrowth : 1;  // it may be shut, not full
    const double most = seconds(std::max(min_backoff_multiplier(), fair_call_interval(r) * longer));
    r.turn_spacing = from_seconds(least < most ? least * std::pow(most / least, random_fraction()) : most);
    r.last_refusal = now_;
    r.next_turn = std::max(now_, r.wait_until) + jittered(r.turn_spacing);
  }
  double random_fraction() { return static_cast<double>(random_() >> 11) * 0x1p-53; }  // from 0 to 1, even
  Time jittered(Time span) {  // a half to one and a half of it, at random
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
    const bool doubtful = outcome != Outcome::connect_failed;
    h.earned_calls = 0;
    ++h.consecutive_failures;
    h.failure_share += kFailureShareWeight * (1 - h.failure_share);
    h.uncertain_share += kFailureShareWeight * ((doubtful ? 1 : 0) - h.uncertain_share);
    // Where a call here is rare, and none succeeded lately, one failure is enough. But one reset alone may be
    // an answer lost on its way while the work is done; a crash resets many.
    const bool rare = rate < s_.forwarders && h.last_success + s_.overload_window < now_;
    const bool alone = rare && outcome != Outcome::reset;
    const bool outage = h.consecutive_failures >= kUnhealthyConsecutiveFailures ||
                        h.failure_share >= kUnhealthyFailureShare || alone;
    if (!h.unhealthy && (outage || !doubtful)) {
      h.unhealthy = true;
      h.failing_since = now_;
      schedule_probe_call(h, rate);
    }
    if (!h.unhealthy) return;
    if (outage) h.recovering_since.reset();
    h.backoff_until = now_ + min_backoff_multiplier() * std::min(h.consecutive_failures, kMaxBackoffFactor);
  }

  // A run of refusals without success, or a wait longer than any limit's span, tells a shut destination.
  void record_refusal(Health& h, Time told_wait, double rate) {
    h.earned_calls = 0;
    if (h.consecutive_refusals++ == 0) h.refused_since = now_;
    const bool run = h.consecutive_refusals >= kUnavailableConsecutiveRefusals &&
                     now_ - h.refused_since >= s_.overload_window;
    bool shut = told_wait > s_.overload_window || (run && rate >= s_.forwarders * kMinCallsPerSecondEach);
    if (shut || (h.unhealthy && !h.recovering_since)) record_failure(h, Outcome::connect_failed, rate);
  }

  // Halves the window, once for all calls that were out together.
  void shrink_window(Route& route, Time sent_at) {
    if (sent_at < route.last_window_cut) return;
    route.last_window_cut = now_;
    route.window = std::max(1.0, std::floor(route.window / 2));
  }
  // A refusal slows the pace from what this forwarder asks for, or twice its even part (where there are many,
  // that part), if that is less. The next call waits a random time: told waits end for all at once.
  void reduce_pace(Route& route, Time sent_at) {
    const bool told = route.wait_until > now_;
    route.tokens = std::min(route.tokens, (many_forwarders(route) ? 0.5 : 0) -
                                              (many_forwarders(route) || told ? random_fraction() : 0));
    if (told) route.tokens_updated_at = route.wait_until;
    if (sent_at < route.last_pace_cut || route.rate <= 0 || oversubscribed(route)) return;
    route.last_pace_cut = now_;
    const double asked = local_rate(route, std::chrono::seconds(1)) / route.rate;
    const double most = many_forwarders(route) ? even_share() : std::max(asked, even_share() * 2);
    const double least = many_forwarders(route) ? kMinPaceDivisor : 2;
    route.pace_share = std::max(even_share() / least, std::min(route.pace_share, most) * kPaceDecreaseFactor);
  }
  // Where many share a limit, the answers tell whether it has room left. Without it none goes beyond its even
  // part, and with it each comes back to that part within a few calls.
  void adjust_pace(Route& r, const LoadReport& report) {
    double step = std::min(kPaceIncrease, kFleetPaceIncrease / s_.forwarders);
    if (many_forwarders(r)) {
      const bool room = !report.present || report.allowance_left > kAllowanceAvailable;
      const bool none =
          report.present && report.allowance_left < kAllowanceExhausted && r.pace_share > even_share();
      step = r.pace_share * (r.pace_share < even_share() ? kPaceStepBelowShare
                             : room                      ? kPaceStepAboveShare
                             : none                      ? -kPaceStepAboveShare
                                                         : 0);
    }
    r.pace_share = std::min(1.0, r.pace_share + step);
  }
  void update_reported_limit(Route& r, double limit) {
    double& known = r.listed ? r.reported_limit : r.rate;
    const bool other = known <= 0 || (r.listed && std::abs(limit - known) > kLimitChangeThreshold * known);
    known += (other ? 1 : kLatencyWeight) * (limit - known);
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
    const Time span = now_ - call.sent_at, stall = stall_time(*endpoint.route);
    // The share of overdue calls that are never answered; one called off too early for that tells nothing.
    if (span >= (answered(outcome) ? stall / 2 : stall)) {
      unanswered_share_ =
          unanswered_share() + kUnansweredShareWeight * ((answered(outcome) ? 0 : 1) - unanswered_share());
      unanswered_share_at_ = now_;
    }
    endpoint.in_flight.erase(endpoint.in_flight.find(call.sent_at));
    --endpoint.route->in_flight;
    if (outcome == Outcome::delivered) {
      Route& r = *endpoint.route;
      const double took = seconds(span);
      const double step = r.answer_mean == 0 ? 1 : kLatencyWeight;  // the first answer stands for all
      r.answer_deviation +=
          step * ((step == 1 ? took / 2 : std::abs(took - r.answer_mean)) - r.answer_deviation);
      r.answer_mean += step * (took - r.answer_mean);
      const double log_took = std::log(std::max(1e-3, took));  // the slow ones weigh little in its mean
      usual_answer_log_ +=
          (usual_answer_log_ < kNoLimit ? kLatencyWeight : 1) * (log_took - usual_answer_log_);
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
  // How long a call may hold a slot that others want: the less overdue calls are answered, the shorter.
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
    Time least = kMaxBackoffMultiplier;
    for (const ClassSettings& c : s_.classes) least = std::min(least, backoff_multiplier(c));
    return least;
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
  // A repeatable call is given up well after its answer is late; one that may not be repeated never is.
  Time attempt_timeout(const Route& r, const Message& m) const {
    if (m.class_settings->effect == Effect::unsafe) return m.deadline - now_;
    const Time patience =
        std::max(from_seconds(seconds(stall_time(r)) * kTimeoutStallTimes), s_.connect_timeout * 2);
    return std::min(m.deadline - now_, patience);
  }

  bool failing(const Health& h) const { return h.unhealthy && !h.recovering_since; }
  // Calls are out there for too long and nothing has been answered since: silent, or standing still.
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
  std::size_t slot_holding_calls() const {
    std::size_t n = 0;
    for (const auto& [id, call] : calls_) n += holds_slots_long(endpoints_.at(call.endpoint)) ? 1 : 0;
    return n;
  }

  // Calls that a destination may get in overload_time at this moment, from all forwarders.
  double slow_start_budget(const Health& h, double rate) const {
    double warm = h.recovering_since
                      ? seconds(now_ - *h.recovering_since) / std::max(1e-6, seconds(s_.slow_start_time))
                      : 0;
    double capacity = rate * (s_.slow_start_min_share + (1 - s_.slow_start_min_share) * warm) /
                      (s_.rates_approximate ? kApproximateRateFactor : 1);
    return s_.overload_factor * capacity * seconds(s_.overload_window);
  }
  // Where one call of each forwarder is too much, trials come at random times, so seldom that all that may
  // have messages waiting keep the budget together: one for each call that the rate allowed since, and more
  // where messages come in clumps or the outage began before this forwarder saw it.
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
  // after the last failure stands for the return. Each success without a refusal between earns a call more.
  Time next_budgeted_call(Health& h, double rate, std::size_t waiting) {
    if (h.unhealthy && h.recovering_since && now_ - *h.recovering_since >= s_.slow_start_time) {
      h.unhealthy = false;
      h.failure_share = h.uncertain_share = 0;
    }
    std::erase_if(h.recent_calls, [this](Time t) { return t + s_.overload_window <= now_; });
    if (!h.unhealthy) return now_;
    const double whole = slow_start_budget(h, rate);
    if (whole < s_.forwarders && s_.forwarders > 1) return std::max(now_, next_probe_call(h, rate, waiting));
    const double budget = std::max(
        whole * even_share(), std::min(whole * even_share() + h.earned_calls, whole * kMaxSlowStartShare));
    if (static_cast<double>(h.recent_calls.size()) + 1 <= std::max(1.0, budget)) return now_;
    return h.recent_calls.front() + s_.overload_window;
  }

  // No more calls fit on the connections that the endpoint takes. One more is tried now and then.
  bool connections_full(const Endpoint& e) const {
    const double more = seconds(now_ - e.connections_full_at) / seconds(e.connection_retry_interval);
    return static_cast<double>(e.in_flight.size()) >= e.max_in_flight + std::floor(more);
  }

  // Every send passes here. Returns now if it may go, else the time at which to look again, or kNever when
  // only an event can open the way. Without a message: the rules that bind any send.
  Time earliest_send(Endpoint& e, const Message* m) {
    Route& r = *e.route;
    if (e.entry.condition != Condition::ready) return kNever;  // drains: nothing new from that event on
    Time open = std::max(now_, r.wait_until);                  // waits: for any message
    if (open_call(e) == calls_.end()) {
      if (calls_.size() >= s_.slots) return kNever;
      if (r.in_flight >= static_cast<std::size_t>(r.window)) return kNever;
      if (connections_full(e)) return kNever;
      for (Health* h : {&e.health, &r.health}) {
        if (backoff_exempt_.count(e.entry.endpoint))
          break;  // the fleet rests enough: only the cold budget binds
        open = std::max(open, h->backoff_until);
        std::size_t out = h == &e.health ? e.in_flight.size() : r.in_flight;
        if (failing(*h) && out > 0) return kNever;  // half-open: one trial at a time
      }
      const Destination& d = destinations_.at(e.entry.destination);
      open = std::max(open, next_budgeted_call(r.health, r.rate, d.waiting.size()));
      const double siblings = has_separate_route(e.entry) ? 1 : static_cast<double>(d.endpoints.size());
      open = std::max(open, next_budgeted_call(e.health, r.rate / siblings, d.waiting.size()));
      if (stalled(e)) open = std::max(open, *e.in_flight.rbegin() + stall_time(r));
      if (holds_slots_long(e) && slot_holding_calls() >= share_of(s_.slots, kMaxUnhealthySlotShare))
        return kNever;
      open = std::max({open, next_token(r), r.next_turn});
    }
    if (m == nullptr) return open;
    open = std::max(open, m->not_before);
    if (m->attempts >= s_.max_attempts) return kNever;
    if (!recording_available_ && m->class_settings->effect != Effect::safe) return kNever;
    if (open + mean_answer_time(r) > m->deadline) return kNever;
    // Guards against calls cut off by the end of the process, whose effect nobody would know.
    if (open + (m->class_settings->effect == Effect::safe ? mean_answer_time(r) : stall_time(r)) >
        shutdown_at_)
      return kNever;
    if (m->class_settings->sequential && m->arrival.key != 0) {
      const KeyQueue& line = keys_.at(m->arrival.key);
      if (line.messages.front() != m->arrival.id) return kNever;
      open = std::max(open, line.quiet_until);
    }
    if (m->may_have_run) {
      if (m->class_settings->effect == Effect::unsafe) return kNever;
      const bool scoped =
          m->class_settings->effect == Effect::keyed && m->class_settings->key_scope == KeyScope::zone;
      if (scoped && e.entry.zone != m->uncertain_zone) return kNever;
    }
    if (open > latest_start(*m)) return kNever;
    // A message that cannot be repeated is kept back while calls here may fail with their effect unknown.
    const double doubt = std::max(e.health.uncertain_share, r.health.uncertain_share);
    if (m->class_settings->effect == Effect::unsafe && (doubt >= kMaxUncertainShareForUnsafe || stalled(e))) {
      Time last_chance = m->deadline - stall_time(r);
      if (last_chance > open) open = last_chance;
    }
    return open;
  }

  // Sends of one moment to one endpoint share a call where its kind allows it.
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

  // The endpoint that is least busy, in the own zone where crossing costs, over a connection that is open.
  // The tie-breaker guards against all forwarders starting with one endpoint and staying on its connection.
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
  // Guards against idle connections of many forwarders filling the few that endpoints of a kind take. One
  // that found no place surely tells it: for a while none is kept that would be idle mostly. A connect that
  // failed may, or tell of a crash: none is kept that would seldom be used again in time.
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
  void mark_connections_scarce(const Endpoint& failed, bool sure) {
    const bool known = connections_scarce(failed);
    auto& [maybe, surely] = scarce_until_[failed.entry.kind];
    (sure ? surely : maybe) = now_ + s_.connection_idle_timeout * kConnectionFindingIdleTimeouts;
    if (known || !connections_scarce(failed)) return;
    for (auto& [id, e] : endpoints_) {
      if (e.entry.kind == failed.entry.kind) close_idle_connections(e);
    }
  }

  void dispatch() {
    enforce_capacity();
    free_slots();
    double slot_seconds = 0;  // of all that waits
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
      const auto less = [](const auto& a, const auto& b) { return a.second.gain < b.second.gain; };
      const auto best = std::max_element(choices.begin(), choices.end(), less);
      if (best == choices.end() || !best->second.message) break;
      Choice& choice = best->second;
      if (earliest_send(*choice.endpoint, choice.message) <= now_) {
        send(*choice.message, *choice.endpoint);
        dequeue(*choice.message);
      }
      choice = choose(destinations_.at(best->first), slots_drain);
    }
  }

  // What would be sent next to a destination: what loses most worth by waiting for all others of it.
  struct Choice {
    Message* message = nullptr;
    Endpoint* endpoint = nullptr;
    double gain = -1;  // less than of any message
  };

  Choice choose(Destination& d, double slots_drain) {
    Choice best;
    if (d.waiting.empty()) return best;
    std::vector<Endpoint*> open;
    double rate = 0;
    for (EndpointId id : d.endpoints) {
      Endpoint& e = endpoints_.at(id);
      Time t = earliest_send(e, nullptr);
      if (t <= now_) open.push_back(&e);
      if (t > now_ && t < kNever) wake_at(t);
      rate = std::max(rate, pace(*e.route));
    }
    if (open.empty()) return best;
    const double drain = std::max(slots_drain, static_cast<double>(d.waiting.size()) / std::max(0.1, rate));
    std::pair<double, Time> best_order;
    for (Message* waiting : d.waiting) {
      Message& m = *waiting;
      if (m.not_before > now_) {
        wake_at(m.not_before);
        continue;
      }
      const double u = worth_at(m, now_) - worth_at(m, now_ + from_seconds(drain));
      const std::pair order(u,
                            -(m.first_submitted + m.class_settings->aim));  // then the one that is late first
      if (best.message && order <= best_order) continue;
      Endpoint* endpoint = choose_endpoint(open, m);
      if (!endpoint) continue;
      best = Choice{&m, endpoint, u / expected_answer_seconds(*endpoint->route)};
      best_order = order;
    }
    return best;
  }

  Endpoint* choose_endpoint(const std::vector<Endpoint*>& open, const Message& m) {
    Endpoint* best = nullptr;
    for (Endpoint* e : open) {
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

  // A waiting message that no endpoint can take in the time left gets its answer at once. Guards the time
  // that an event costs: all that wait are looked through only when one of them is due, and now and then.
  void give_up(Destination& d) {
    if (now_ < d.next_check) return wake_at(d.next_check);
    d.next_check = now_ + kMaxCheckInterval;
    std::vector<Message*> lost;
    for (Message* m : d.waiting) {
      const Time at = give_up_at(d, *m);
      if (at <= now_) lost.push_back(m);
      if (at > now_) d.next_check = std::min(d.next_check, at);
    }
    wake_at(d.next_check);
    for (Message* m : lost) end_undelivered(*m, d);
  }

  // Guards against held messages filling the room: the one worth least after as long again is answered.
  void enforce_capacity() {
    const std::size_t room = s_.max_held - std::min(s_.max_held - 1, share_of(s_.max_held, kCapacityReserve));
    auto promise = [this](const Message& m) { return worth_at(m, now_ + (now_ - m.first_submitted)); };
    while (messages_.size() > room) {
      std::pair<double, Message*> least{kNoLimit, nullptr};
      for (DestinationId id : waiting_destinations_) {
        for (Message* m : destinations_.at(id).waiting) {
          if (const double p = promise(*m); p < least.first) least = {p, m};
        }
      }
      if (!least.second) return;
      end_undelivered(*least.second, destinations_.at(least.second->arrival.destination), true);
    }
  }

  // Guards against calls without an answer holding every slot, or every connection that an endpoint takes,
  // while messages wait. The most overdue one is called off, though its answer may have been about to come.
  void free_slots() {
    if (!s_.can_cancel) return;
    bool wanted = false;  // any slot
    for (auto id = waiting_destinations_.begin();
         id != waiting_destinations_.end() && calls_.size() >= s_.slots; ++id) {
      for (EndpointId endpoint : destinations_.at(*id).endpoints)
        wanted |= !degraded(endpoints_.at(endpoint));
    }
    std::pair<double, std::size_t> most{1, 0};
    Time next = wanted ? now_ + min_backoff_multiplier() / 2 : kNever;  // a call may count as stalled by then
    for (const auto& [id, call] : calls_) {
      if (call.cancelled) return;  // one at a time: its slot is about to come free
      const Endpoint& e = endpoints_.at(call.endpoint);
      if (!wanted && !(waiting_destinations_.count(e.entry.destination) && connections_full(e))) continue;
      const Time patience = max_slot_time(call, e);
      next = std::min(next, call.sent_at + patience + Time(1));
      most = std::max(most, std::pair(seconds(now_ - call.sent_at) / seconds(patience), id));
    }
    if (most.second == 0) return wake_at(std::max(next, now_ + s_.resolution));
    calls_.at(most.second).cancelled = true;
    for (const auto& [id, m] : messages_) {
      if (m.call_id == most.second) emit(Cancel{id, m.attempts - 1});
    }
  }

  // A repeat is dropped only for so long, so it begins within that time, however long its connection takes.
  Time latest_start(const Message& m) const {
    const bool guarded = m.may_have_run && m.class_settings->effect == Effect::keyed;
    return guarded ? std::min(m.deadline, m.uncertain_since + m.class_settings->dedup_window) : m.deadline;
  }
  Time give_up_at(const Destination& d, const Message& m) const {
    const Time last = latest_send(d, m);
    return std::max(now_, m.not_before) >= last ? now_ : last;
  }
  Time latest_send(const Destination& d, const Message& m) const {
    if (m.attempts >= s_.max_attempts) return now_;
    if (m.may_have_run && m.class_settings->effect == Effect::unsafe) return now_;
    Time last = latest_start(m);
    Time call = kNever, wait = kNever;
    for (EndpointId id : d.endpoints) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::ready) continue;
      call = std::min(call, mean_answer_time(*e.route));
      wait = std::min(wait, e.route->wait_until);
    }
    if (call == kNever) return m.deadline - s_.resolution * 2;  // nowhere to go now; the list may bring it
    last = std::min(last, m.deadline - std::max(call, s_.resolution * 2));
    return wait >= last ? now_ : last;
  }

  void end_undelivered(Message& m, const Destination& d, bool for_room = false) {
    bool may_refuse =
        !m.may_have_run || m.class_settings->effect == Effect::safe ||
        (m.class_settings->effect == Effect::keyed && m.class_settings->key_scope == KeyScope::all);
    const GiveUpReason why = for_room                        ? GiveUpReason::capacity
                             : m.attempts >= s_.max_attempts ? GiveUpReason::attempts
                             : may_refuse                    ? GiveUpReason::deadline
                                                             : GiveUpReason::uncertain;
    may_refuse ? emit(Refuse{m.arrival.id, retry_after(d), why}) : emit(Fail{m.arrival.id, why});
    end(m);
  }

  Time retry_after(const Destination& d) const {
    if (!s_.can_send_retry_after) return Time(0);
    Time soonest = now_ + s_.max_retry_after;
    for (EndpointId id : d.endpoints) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::ready) continue;
      const Route& r = *e.route;
      soonest = std::min(
          soonest, std::max({r.wait_until, r.next_turn, e.health.backoff_until, r.health.backoff_until}));
    }
    return std::min(std::max(min_backoff_multiplier(), soonest - now_), s_.max_retry_after);
  }

  // Ends the message; its record stays while a call of it is still out.
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
  std::set<DestinationId> waiting_destinations_;  // those for which messages wait
  std::map<MessageId, Message> messages_;
  std::map<std::size_t, Call> calls_;
  std::map<std::uint64_t, KeyQueue> keys_;
  std::set<EndpointId> removed_;  // not forgotten yet
  std::deque<std::pair<Time, std::uint64_t>>
      quiet_keys_;  // keys without a message, by when they may be forgotten
  std::size_t last_call_id_ = 0;
  std::array<ConnectionLoss, 11> idle_connection_losses_;  // by how long the connection had stood idle
  ConnectionLoss new_connection_losses_;
  Time last_connection_loss_ = kLongAgo;
  // By kind, until when connections are not kept idle: one may have found no place, or one surely has.
  std::map<std::uint32_t, std::pair<Time, Time>> scarce_until_;
  double unanswered_share_ = 0;  // of overdue calls, as it was at that time
  Time unanswered_share_at_{};
  double usual_answer_log_ = kNoLimit;  // mean of the logarithm of answer times, in seconds
  double arrivals_ = 0;                 // messages in this life
  double listed_rate_ = 0;              // of all routes
  std::size_t log_messages_ = 0;
  int list_failures_ = 0;
  Time next_list_request_ = kNever, next_wake_ = kNever, timer_at_ = kNever, shutdown_at_ = kNever;
  std::set<EndpointId> backoff_exempt_;  // that may not rest
  bool recording_available_ = true;      // attempts, by the caller
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
