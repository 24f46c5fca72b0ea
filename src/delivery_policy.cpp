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

constexpr double kMultiplierOfAim = 0.25;  // multiplier of the linear wait, as a share of the class's aim
constexpr Time kMultiplierMost = milliseconds(1500);  // and at most the source's own 1.5 s
constexpr double kWindowShare = 0.75;                 // share of the slots that one destination may hold
constexpr double kSickShare = 0.5;      // share of the slots that all failing destinations may hold together
constexpr int kRestsMost = 4;           // a failing destination rests multiplier x failures, up to so many
constexpr int kSickRun = 3;             // failures in a row that make a destination count as failing
constexpr double kSickFailShare = 0.5;  // share of failures that does so, and above which it is still failing
constexpr double kShareStep = 0.25;     // weight of the newest outcome in the share of failures
constexpr double kDoubtHeld = 0.2;  // share of doubtful failures above which unsafe messages are held back
constexpr int kShutRun = 5;         // refusals without a success between them that tell a shut destination
constexpr double kLatencyStep = 0.125;  // weight of the newest answer in the mean time of an answer
constexpr double kStallSpreads = 6;     // a call is late after mean + so many mean deviations
constexpr double kTimeoutStalls = 3;    // a repeatable call is timed out after so many times that
constexpr double kLostStep = 0.1;  // weight of the newest overdue call in the share of those never answered
constexpr double kLostKept = 10;   // seconds in which that share halves
constexpr double kPaceCut = 0.75;  // part of the pace kept after a refusal above the limit
constexpr double kPaceGrowth = 0.02, kPaceGrowthOfAll = 0.08;  // by a delivery; by one at each forwarder
constexpr std::uint32_t kMany = 10;  // so many forwarders see too little each to find their parts
constexpr double kAmple = 4;         // even parts that one of many may take before it is told of less
constexpr double kManyLeast = 8;     // part of the even part kept where all is refused
constexpr double kRoomLeft = 0.3, kNoneLeft = 0.1;  // of an allowance: over the one more is asked for
constexpr double kPaceMore = 0.1, kPaceBack = 0.4;  // by so much, each answer, and up to the even part
constexpr double kOtherLimit = 0.25;                // a limit that differs by more is another one
constexpr double kBatchBurst = 2;                   // longer bursts where a call may carry several messages
constexpr double kBurstSeconds = 0.5;               // calls that may leave at once, in seconds of the pace
constexpr double kRoughRate = 1.5;                  // a rough rate may be this many times too high
constexpr double kRoomReserve = 0.1;                // share of the holding room kept free for what comes next
constexpr double kLargestPart = 0.66;  // of a cold destination's budget that one forwarder earns at most
constexpr double kUnseenSpreads = 5;   // an outage may hold so many spreads more messages than the rate tells
constexpr double kCrowdRate = 0.1;  // many share a limit when their even part is under so many calls a second
constexpr double kFullLoad = 0.8;   // all traffic is taken to be this share of all listed rates
constexpr int kIdlePart = 4;        // connections are kept for this part of the idle time that failed
constexpr double kMostlyIdle = 0.5;            // a connection that is in use for less of the time
constexpr Time kShortIdle = milliseconds(25);  // idle times are told apart from here on, by twos
constexpr double kRiskStep = 0.02;  // weight of the newest call in the share lost with their connection
constexpr double kRiskSeen = 3;     // so many lost calls tell a risk
constexpr double kRiskMore = 0.08;  // share of lost calls over that on new connections that is avoided
constexpr int kTurnGrowth = 4;  // each refusal makes the spread of turns so many times wider, and keeps them
constexpr Time kLookAgain = milliseconds(100);  // at what waits for a destination, at the latest
constexpr std::size_t kLogLines = 60;           // log lines in one life at most

constexpr double kSlowTimes = 3;  // a destination that takes so many times the usual may hold half the slots
constexpr double kNoLimit = 1e9;
constexpr int kCrowdedPart = 4;  // one more call is tried after this part of the overload time
constexpr Time kNever = Time::max(), kLongAgo = Time::min() / 2;

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }
Time from_seconds(double s) { return Time(std::llround(std::clamp(s, 0.0, 1e9) * 1e6)); }
std::size_t share_of(std::size_t slots, double share) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(slots) * share));
}

// Destination memory: what calls have told of the health of an endpoint, or of a route as a whole.
struct Health {
  int fail_run = 0;        // failures since the last success
  int full_run = 0;        // refusals since the last success
  Time full_since{};       // when that run of refusals began
  double fail_share = 0;   // recent share of failures
  double doubt_share = 0;  // recent share of failures that may have taken effect
  bool sick = false;       // in an outage, or cold after it
  double earned = 0;       // calls added to the cold budget by successes since the last failure or refusal
  Time rest_until = kLongAgo, last_ok = kLongAgo;
  std::optional<Time> ok_since;  // first success after the last failure; starts the cold time
  Time failing_since{};
  Time last_trial = kLongAgo;  // where many share the cold budget
  double trial_turns = 0;      // of others before the next, for one waiting message
  std::vector<Time> sends;     // calls of the last overload_time
};

struct Route {
  double rate = 0;      // calls a second from all forwarders, as listed or reported; 0 = not told
  bool listed = false;  // by the list
  double arrivals = 0;  // messages of this life that it could take
  Health health;
  std::size_t in_flight = 0;
  double window = 1;  // congestion window, in calls
  Time last_cut = kLongAgo, last_slowed = kLongAgo;
  Time wait_until = kLongAgo;  // told by the destination
  double told = 0;             // limit that answers report; holds where clearly under a listed rate
  double pace_share = 1;       // of the limit
  double burst_seconds = kBurstSeconds;
  double tokens = 1;
  Time tokens_at = kLongAgo;
  Time refused_at = kLongAgo;                 // the newest refusal, where many share the limit
  Time turn = kLongAgo;                       // this forwarder's next call after it
  Time spread{};                              // between its turns
  double answer_mean = 0, answer_spread = 0;  // seconds; 0 until the first answer
};

struct Endpoint {
  EndpointEntry entry;
  Route* route = nullptr;
  Health health;
  std::multiset<Time> out;  // calls in flight, by the time they were sent
  std::size_t connections = 0;
  double most_out = kNoLimit;  // calls that its limit on connections leaves room for
  Time crowded_at = kLongAgo;  // when that was seen last
  Time crowded_gap = Time(1);  // from then on one more call is tried after each such time
  Time last_used = kLongAgo;
  std::uint64_t tie_breaker = 0;  // decides between equals, another order at each forwarder
};

struct Message {
  MessageArrived facts;
  const ClassSettings* rules = nullptr;
  Time handed_in{};  // by the client for the first time
  Time deadline{};
  Time not_before{};  // backoff or told wait
  bool ended = false, may_have_run = false;
  std::uint32_t attempts = 0;
  Time doubt_since{};  // send of the first attempt that may have run
  std::uint32_t doubt_zone = 0;
  Time sent_at{};
  std::size_t call = 0;
};

struct Call {
  EndpointId endpoint = 0;
  Time sent_at{};
  std::size_t members = 0;      // messages in it
  std::size_t outstanding = 0;  // of these without an outcome
  bool unsafe = false;          // carries a message that cannot be repeated
  bool cancelled = false;
};

// Calls that were lost because their connection broke, among those that went over connections of one kind.
struct Risk {
  double calls = 0, lost = 0;
  double share() const { return lost / std::max(1.0, calls); }
};

struct KeyLine {
  std::deque<MessageId> line;  // in the order of arrival
  Time quiet_until = kLongAgo;
};

struct Destination {
  std::vector<Message*> waiting;  // they stay where they are
  Time look_at = kLongAgo;        // when one that waits may have to be given up, or sooner
  std::set<EndpointId> endpoints;
};

}  // namespace

class Forwarder::Policy {
 public:
  explicit Policy(const Settings& s) : s_(s), random_(s.seed) {}

  void start(Time now, std::vector<Action>& out) {
    now_ = start_ = now;
    out_ = &out;
    if (s_.list_on_request) ask_for_list();
    set_timer();
  }

  template <class A>
  void remember(A& archive);
  std::vector<Ailing> ailing() const {
    std::vector<Ailing> all;
    for (const auto& [id, e] : endpoints_) {
      const Route& r = *e.route;
      const bool fails = failing(e.health) || failing(r.health), cold = e.health.sick || r.health.sick;
      if (e.entry.condition != Condition::ready || !(fails || cold || limit(r) * 2 < r.rate)) continue;
      all.push_back({id, fails ? Ail::failing : cold ? Ail::cold : Ail::lowered, e.health.fail_share});
    }
    return all;
  }
  std::size_t records() const { return messages_.size() + calls_.size() + endpoints_.size() + keys_.size(); }

  void handle(Time now, const Event& event, std::vector<Action>& out) {
    now_ = now;
    out_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
    forget();
    const auto* const arrived = std::get_if<MessageArrived>(&event);
    if (!arrived || !arrived->more_follow) dispatch();
    set_timer();
  }

 private:
  template <class A>
  void act(A action) {
    out_->emplace_back(std::in_place_type<A>, std::move(action));
  }
  void log(const std::string& text) {
    if (log_lines_++ < kLogLines) act(LogLine{text});
  }

  void on(const MessageArrived& e) {
    Message m;
    m.facts = e;
    m.rules = &s_.classes.at(e.message_class);
    m.deadline = now_ + e.time_left;
    m.handed_in = m.deadline - std::max(m.rules->deadline, e.time_left);
    m.not_before = now_;
    m.attempts = e.attempts;
    m.may_have_run = e.may_have_run;
    m.doubt_since = now_ - e.doubt_age;
    m.doubt_zone = e.doubt_zone;
    if (m.rules->sequential && e.key != 0) keys_[e.key].line.push_back(e.id);
    ++arrivals_;
    const Route* counted = nullptr;
    for (EndpointId id : destinations_[e.destination].endpoints) {
      Route* route = endpoints_.at(id).route;
      if (route != counted) ++route->arrivals;
      counted = route;
    }
    wait(messages_[e.id] = m);
  }

  bool routes_apart(const EndpointEntry& entry) const {
    return entry.kind < s_.kinds.size() && s_.kinds[entry.kind].routes_apart;
  }
  void wait(Message& m) {
    Destination& d = destinations_[m.facts.destination];
    d.waiting.push_back(&m);
    d.look_at = std::min(d.look_at, give_up_at(d, m));
    busy_.insert(m.facts.destination);
  }
  void stop_waiting(const Message& m) {
    std::vector<Message*>& waiting = destinations_[m.facts.destination].waiting;
    std::erase(waiting, &m);
    if (waiting.empty()) busy_.erase(m.facts.destination);
  }

  void on(const MessageDropped& e) {
    if (auto it = messages_.find(e.id); it != messages_.end()) end(it->second);
  }

  void on(const AttemptEnded& e) {
    auto it = messages_.find(e.id);
    if (it == messages_.end() || it->second.call == 0) return;
    Message& m = it->second;
    Endpoint& endpoint = endpoints_.at(e.endpoint);
    auto call = calls_.find(m.call);
    learn(endpoint, e, m.sent_at);
    learn_risk(e);
    if (--call->second.outstanding == 0) close_call(call->first, e);
    m.call = 0;
    bool doubtful = e.outcome == Outcome::error || e.outcome == Outcome::timeout ||
                    e.outcome == Outcome::reset || e.outcome == Outcome::cancelled;
    if (doubtful && !m.may_have_run) {
      m.may_have_run = true;
      m.doubt_since = m.sent_at;
      m.doubt_zone = endpoint.entry.zone;
    }
    if (m.rules->sequential && m.facts.key != 0 && doubtful && e.outcome != Outcome::error) {
      Time& quiet = keys_[m.facts.key].quiet_until;  // the work may still go on
      quiet = std::max(quiet, now_ + s_.key_quiet);
    }
    if (e.outcome == Outcome::not_sent) endpoint.route->tokens += 1;  // it used nothing of the limit up
    if (e.finished || m.ended) return end(m);
    // The linear wait of the source, or the wait told.
    m.not_before = now_ + (e.told_wait > Time(0) ? e.told_wait : multiplier(*m.rules) * m.attempts);
    const bool no_place = e.outcome == Outcome::full && endpoint.crowded_at == now_;
    if (e.outcome == Outcome::not_sent || no_place) m.not_before = now_ + s_.resolution;
    wait(m);
  }

  void on(const ProbeEnded& e) { endpoints_.at(e.endpoint); }  // none is sent: relays may not probe

  void on(const ListChanged& e) {
    if (e.whole) {
      std::set<EndpointId> named;
      for (const EndpointEntry& entry : e.entries) named.insert(entry.endpoint);
      for (auto& [id, endpoint] : endpoints_) {
        if (named.count(id)) continue;
        endpoint.entry.condition = Condition::gone;
        gone_.insert(id);
      }
    }
    for (const EndpointEntry& entry : e.entries) {
      std::pair key(entry.destination, routes_apart(entry) ? std::optional(entry.endpoint) : std::nullopt);
      Endpoint& endpoint = endpoints_[entry.endpoint];
      if (endpoint.route == nullptr) endpoint.tie_breaker = random_();
      if (endpoint.route) destinations_[endpoint.entry.destination].endpoints.erase(entry.endpoint);
      // Guards an endpoint whose drain is taken back, as by a health check: it may be cold. Shortens nothing.
      const bool up = endpoint.entry.condition == Condition::draining && entry.condition == Condition::ready;
      if (up && !failing(endpoint.health)) endpoint.health.sick = true, endpoint.health.ok_since = now_;
      endpoint.entry = entry;
      if (entry.condition == Condition::gone) gone_.insert(entry.endpoint);
      endpoint.route = &routes_[key];
      const bool batches = entry.kind < s_.kinds.size() && s_.kinds[entry.kind].batch > 1;
      endpoint.route->burst_seconds = batches ? kBurstSeconds * kBatchBurst : kBurstSeconds;
      if (entry.rate > 0) {
        listed_rate_ += entry.rate - endpoint.route->rate;
        endpoint.route->rate = entry.rate;  // a removal need not repeat it
        if (!std::exchange(endpoint.route->listed, true) && many(*endpoint.route))
          endpoint.route->pace_share = std::min(1.0, even() * kAmple);
      }
      destinations_[entry.destination].endpoints.insert(entry.endpoint);
      destinations_[entry.destination].look_at = kLongAgo;
    }
    list_failures_ = 0;
  }

  // Guards the memory of a long life. A destination's health stays with its route.
  void forget() {
    std::erase_if(gone_, [this](EndpointId id) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::gone) return true;
      if (!e.out.empty()) return false;
      const EndpointEntry entry = e.entry;
      destinations_[entry.destination].endpoints.erase(id);
      endpoints_.erase(id);
      if (routes_apart(entry)) routes_.erase({entry.destination, entry.endpoint});
      return true;
    });
    for (; !quiet_.empty() && quiet_.front().first <= now_; quiet_.pop_front()) {
      auto it = keys_.find(quiet_.front().second);
      if (it != keys_.end() && it->second.line.empty() && it->second.quiet_until <= now_) keys_.erase(it);
    }
  }

  void on(const ListFailed&) {
    next_ask_ =
        now_ + std::min(kMultiplierMost * ++list_failures_, std::max(s_.ask_within / 2, s_.resolution));
  }

  void on(const Stopping& e) { stop_at_ = e.at; }
  void on(const RecordingChanged& e) { recording_ = e.available; }
  void on(const RestsCapped& e) { kept_ = {e.kept.begin(), e.kept.end()}; }

  void on(const TimerFired&) {
    if (timer_at_ <= now_) timer_at_ = kNever;
    if (s_.list_on_request && next_ask_ <= now_) ask_for_list();
  }

  void ask_for_list() {
    act(WatchList{});
    next_ask_ = kNever;
  }

  void learn(Endpoint& endpoint, const AttemptEnded& e, Time sent_at) {
    const bool before = failing(endpoint.health), route_before = failing(endpoint.route->health);
    take_in(endpoint, e, sent_at);
    const bool after = failing(endpoint.health), whole = failing(endpoint.route->health) != route_before;
    if (after == before && !whole) return;
    log("endpoint " + std::to_string(endpoint.entry.endpoint) +
        (before ? " answers again: slow start" : " failing: rests, trials only"));
  }

  void take_in(Endpoint& endpoint, const AttemptEnded& e, Time sent_at) {
    Route& route = *endpoint.route;
    if (e.report.present && e.report.limit > 0) hear_limit(route, e.report.limit);
    switch (e.outcome) {
      case Outcome::delivered:
        note_success(endpoint.health);
        note_success(route.health);
        route.window = std::min(route.window + 1, static_cast<double>(share_of(s_.slots, kWindowShare)));
        speed_up(route, e.report);
        break;
      case Outcome::full:
        // Guards against an endpoint's limit on connections being taken for one on calls: it says so, or a
        // new connection is refused and closed while others of this forwarder work.
        if (e.connection_only || (may_lack_a_connection(e) && endpoint.out.size() > 1)) {
          endpoint.most_out = static_cast<double>(endpoint.out.size()) - 1;
          endpoint.crowded_at = now_;
          endpoint.crowded_gap = s_.overload_time / kCrowdedPart;
          if (s_.forwarders > 1) endpoint.crowded_gap = some_of(endpoint.crowded_gap);
          if (e.connection_only) find_scarce(endpoint, true);
          break;
        }
        destinations_.at(endpoint.entry.destination).look_at = kLongAgo;
        if (e.told_wait > Time(0)) route.wait_until = std::max(route.wait_until, now_ + e.told_wait);
        note_refusal(endpoint.health, e.told_wait, route.rate);
        note_refusal(route.health, e.told_wait, route.rate);
        cut(route, sent_at);
        slow_down(route, sent_at);
        take_turns(route);
        break;
      case Outcome::timeout:
      case Outcome::error:
      case Outcome::reset:
      case Outcome::connect_failed: {
        // A time-out beside calls that were answered meanwhile is a slow message, no sign of an outage.
        if (e.outcome == Outcome::timeout && endpoint.health.last_ok > sent_at) break;
        // Guards against connections that break being taken for an outage: a kept one tells nothing, since
        // the next call opens a new one; a new one that came up is no refused one.
        if (e.connection_only && e.idle > Time(0)) break;
        const Outcome sign = e.connection_only ? Outcome::error : e.outcome;
        note_failure(endpoint.health, sign, route.rate);
        if (sign != Outcome::connect_failed || !sibling_works(endpoint))
          note_failure(route.health, sign, route.rate);
        if (sign != Outcome::error) cut(route, sent_at);
        break;
      }
      default:
        break;
    }
  }

  // Whether a refusal may be one of a new connection: it closed unasked behind the answer, which says nothing
  // of load.
  static bool may_lack_a_connection(const AttemptEnded& e) {
    const bool closed_unasked = e.connection_closed && !e.close_requested;
    return e.idle == Time(0) && closed_unasked && e.told_wait == Time(0) && !e.report.present;
  }
  // Guards against a whole destination resting for one endpoint that is gone before the list has told it.
  bool sibling_works(const Endpoint& gone) const {
    const auto& all = destinations_.at(gone.entry.destination).endpoints;
    return std::any_of(all.begin(), all.end(), [&](EndpointId id) {
      const Endpoint& e = endpoints_.at(id);
      return &e != &gone && e.entry.condition == Condition::ready && !failing(e.health) &&
             e.health.last_ok > kLongAgo;
    });
  }
  // Guards against kept connections that are dropped unseen after a short idle time: from where calls are
  // lost on them clearly more often than on new ones, new ones are opened, for a while.
  void learn_risk(const AttemptEnded& e) {
    if (e.idle < Time(0) || !(answered(e.outcome) || e.connection_only)) return;
    const std::size_t twos = std::bit_width(static_cast<std::uint64_t>(e.idle / kShortIdle));
    Risk& risk = e.idle == Time(0) ? new_risk_ : kept_risk_[std::min(twos, kept_risk_.size() - 1)];
    risk.calls += 1 - kRiskStep * risk.calls;
    const bool lost = e.connection_only && e.outcome != Outcome::full;
    risk.lost += (lost ? 1 : 0) - kRiskStep * risk.lost;
    if (lost) risk_seen_ = now_;
  }
  Time most_idle() {
    if (risk_seen_ + s_.connection_idle * kIdlePart < now_) kept_risk_ = {};  // looked at anew after a while
    Time least = kShortIdle / 2;
    for (const Risk& risk : kept_risk_) {
      if (risk.lost >= kRiskSeen && risk.share() > new_risk_.share() + kRiskMore) return least;
      least *= 2;
    }
    return kNever;
  }

  // Guards against very many forwarders striking a small limit, or a shut destination, with few calls each:
  // turns spread with each refusal, to an even part and, refused twice, to what a cold destination stands.
  bool crowded(const Route& r) const {
    return s_.forwarders > 1 && r.rate < kCrowdRate * s_.forwarders;  // also where no rate is told
  }
  // Messages a second that come to this forwarder for the route, as if its life had been longer by `before`.
  double own_rate(const Route& r, Time before) const {
    return std::max(1.0, r.arrivals) / seconds(now_ - start_ + before);
  }
  // Between two calls, when each forwarder takes its part of the limit: the part of all traffic that it has.
  Time fair_gap(const Route& r) const {
    const double traffic = (arrivals_ + 1) / (seconds(now_ - start_) + 1);
    double part = std::min(1.0, traffic / std::max(1e-3, listed_rate_ * kFullLoad));
    // No rate told: its own is its part; one message early in a life tells of no high one.
    if (r.rate <= 0) return from_seconds(1 / own_rate(r, kMultiplierMost * kTurnGrowth * kTurnGrowth));
    if (!r.listed) part = 1.0 / s_.forwarders;
    return from_seconds(1 / (r.rate * part));
  }
  bool taking_turns(const Route& r) const { return now_ < r.refused_at + r.spread * kTurnGrowth; }
  void take_turns(Route& r) {
    if (!crowded(r)) return;
    // Tries again at a return must not outnumber new messages, nor a refused clump come back as one: they are
    // spread evenly over the orders of time from the source's own multiplier to this forwarder's even part.
    const double least = seconds(taking_turns(r) ? r.spread * kTurnGrowth : kMultiplierMost);
    const int longer = r.health.full_run > 1 ? kTurnGrowth : 1;  // it may be shut, not full
    const double most = seconds(std::max(base_multiplier(), fair_gap(r) * longer));
    r.spread = from_seconds(least < most ? least * std::pow(most / least, draw()) : most);
    r.refused_at = now_;
    r.turn = std::max(now_, r.wait_until) + some_of(r.spread);
  }
  double draw() { return static_cast<double>(random_() >> 11) * 0x1p-53; }  // from 0 to 1, even
  Time some_of(Time span) {  // a half to one and a half of it, at random
    return from_seconds(seconds(span) * (0.5 + draw()));
  }

  void note_success(Health& h) {
    h.fail_run = h.full_run = 0;
    h.fail_share *= 1 - kShareStep;
    h.doubt_share *= 1 - kShareStep;
    h.last_ok = now_;
    h.rest_until = kLongAgo;
    if (h.sick && !h.ok_since) h.ok_since = now_;
    h.earned = h.sick ? h.earned + 1 : 0;
  }

  void note_failure(Health& h, Outcome outcome, double rate) {
    const bool doubtful = outcome != Outcome::connect_failed;
    h.earned = 0;
    ++h.fail_run;
    h.fail_share += kShareStep * (1 - h.fail_share);
    h.doubt_share += kShareStep * ((doubtful ? 1 : 0) - h.doubt_share);
    // Where a call here is rare, and none succeeded lately, one failure is enough. But one reset alone may be
    // an answer lost on its way while the work is done; a crash resets many.
    const bool rare = rate < s_.forwarders && h.last_ok + s_.overload_time < now_;
    const bool alone = rare && outcome != Outcome::reset;
    const bool outage = h.fail_run >= kSickRun || h.fail_share >= kSickFailShare || alone;
    if (!h.sick && (outage || !doubtful)) {
      h.sick = true;
      h.failing_since = now_;
      draw_trial(h, rate);
    }
    if (!h.sick) return;
    if (outage) h.ok_since.reset();
    h.rest_until = now_ + base_multiplier() * std::min(h.fail_run, kRestsMost);
  }

  // A run of refusals without success, or a wait longer than any limit's span, tells a shut destination.
  void note_refusal(Health& h, Time told_wait, double rate) {
    h.earned = 0;
    if (h.full_run++ == 0) h.full_since = now_;
    const bool run = h.full_run >= kShutRun && now_ - h.full_since >= s_.overload_time;
    bool shut = told_wait > s_.overload_time || (run && rate >= s_.forwarders * kCrowdRate);
    if (shut || (h.sick && !h.ok_since)) note_failure(h, Outcome::connect_failed, rate);
  }

  // Halves the window, once for all calls that were out together.
  void cut(Route& route, Time sent_at) {
    if (sent_at < route.last_cut) return;
    route.last_cut = now_;
    route.window = std::max(1.0, std::floor(route.window / 2));
  }
  // A refusal slows the pace from what this forwarder asks for, or twice its even part (where there are many,
  // that part), if that is less. The next call waits a random time: told waits end for all at once.
  void slow_down(Route& route, Time sent_at) {
    const bool told = route.wait_until > now_;
    route.tokens = std::min(route.tokens, (many(route) ? 0.5 : 0) - (many(route) || told ? draw() : 0));
    if (told) route.tokens_at = route.wait_until;
    if (sent_at < route.last_slowed || route.rate <= 0 || crowded(route)) return;
    route.last_slowed = now_;
    const double asked = own_rate(route, std::chrono::seconds(1)) / route.rate;
    const double most = many(route) ? even() : std::max(asked, even() * 2);
    const double least = many(route) ? kManyLeast : 2;
    route.pace_share = std::max(even() / least, std::min(route.pace_share, most) * kPaceCut);
  }
  // Where many share a limit, the answers tell whether it has room left. Without it none goes beyond its even
  // part, and with it each comes back to that part within a few calls.
  void speed_up(Route& r, const LoadReport& report) {
    double step = std::min(kPaceGrowth, kPaceGrowthOfAll / s_.forwarders);
    if (many(r)) {
      const bool room = !report.present || report.allowance_left > kRoomLeft;
      const bool none = report.present && report.allowance_left < kNoneLeft && r.pace_share > even();
      step = r.pace_share * (r.pace_share < even() ? kPaceBack : room ? kPaceMore : none ? -kPaceMore : 0);
    }
    r.pace_share = std::min(1.0, r.pace_share + step);
  }
  void hear_limit(Route& r, double limit) {
    double& known = r.listed ? r.told : r.rate;
    const bool other = known <= 0 || (r.listed && std::abs(limit - known) > kOtherLimit * known);
    known += (other ? 1 : kLatencyStep) * (limit - known);
  }
  double limit(const Route& r) const {
    return r.listed && r.told > 0 && r.told < r.rate * (1 - kOtherLimit) ? r.told : r.rate;
  }
  bool many(const Route& r) const { return s_.forwarders >= kMany && !crowded(r); }
  double even() const { return 1 / static_cast<double>(s_.forwarders); }

  void close_call(std::size_t id, const AttemptEnded& ended) {
    const Outcome outcome = ended.outcome;
    const bool connection_only = ended.connection_only;
    Call call = calls_.at(id);
    Endpoint& endpoint = endpoints_.at(call.endpoint);
    const Time span = now_ - call.sent_at, stall = stall_time(*endpoint.route);
    // The share of overdue calls that are never answered; one called off too early for that tells nothing.
    if (span >= (answered(outcome) ? stall / 2 : stall)) {
      lost_share_ = lost_share() + kLostStep * ((answered(outcome) ? 0 : 1) - lost_share());
      lost_at_ = now_;
    }
    endpoint.out.erase(endpoint.out.find(call.sent_at));
    --endpoint.route->in_flight;
    if (outcome == Outcome::delivered) {
      Route& r = *endpoint.route;
      const double took = seconds(span);
      const double step = r.answer_mean == 0 ? 1 : kLatencyStep;  // the first answer stands for all
      r.answer_spread += step * ((step == 1 ? took / 2 : std::abs(took - r.answer_mean)) - r.answer_spread);
      r.answer_mean += step * (took - r.answer_mean);
      const double log_took = std::log(std::max(1e-3, took));  // the slow ones weigh little in its mean
      usual_answer_ += (usual_answer_ < kNoLimit ? kLatencyStep : 1) * (log_took - usual_answer_);
    }
    const bool answered_call = answered(outcome) && !connection_only;
    if (answered_call) endpoint.last_used = now_;
    if ((!answered_call || ended.connection_closed) && endpoint.connections > 0) --endpoint.connections;
    if (outcome == Outcome::connect_failed && !connection_only) find_scarce(endpoint, false);
    if (scarce(endpoint)) close_idle(endpoint);
    calls_.erase(id);
  }

  static bool answered(Outcome o) {
    return o == Outcome::delivered || o == Outcome::full || o == Outcome::error;
  }
  double lost_share() const { return lost_share_ * std::exp2(-seconds(now_ - lost_at_) / kLostKept); }
  // How long a call may hold a slot that others want: the less overdue calls are answered, the shorter.
  Time slot_patience(const Call& call, const Endpoint& e) const {
    const double stalls =
        (call.unsafe ? kTimeoutStalls : 1) * (stalled(e) || failing(e.health) ? 1 : kTimeoutStalls);
    return from_seconds(seconds(stall_time(*e.route)) * stalls * std::pow(2 * stalls, -lost_share()));
  }

  Time multiplier(const ClassSettings& c) const {
    return std::max(s_.resolution,
                    std::min(kMultiplierMost, from_seconds(seconds(c.aim) * kMultiplierOfAim)));
  }
  Time base_multiplier() const {
    Time least = kMultiplierMost;
    for (const ClassSettings& c : s_.classes) least = std::min(least, multiplier(c));
    return least;
  }
  double expected_answer(const Route& r) const {
    return r.answer_mean > 0 ? r.answer_mean : seconds(base_multiplier());
  }
  Time answer_time(const Route& r) const { return from_seconds(r.answer_mean); }
  Time stall_time(const Route& r) const {
    if (r.answer_mean == 0) return base_multiplier() * 4;
    return std::max(base_multiplier(), from_seconds(r.answer_mean + kStallSpreads * r.answer_spread));
  }
  // A repeatable call is given up well after its answer is late; one that may not be repeated never is.
  Time attempt_timeout(const Route& r, const Message& m) const {
    if (m.rules->effect == Effect::unsafe) return m.deadline - now_;
    const Time patience =
        std::max(from_seconds(seconds(stall_time(r)) * kTimeoutStalls), s_.connect_timeout * 2);
    return std::min(m.deadline - now_, patience);
  }

  bool failing(const Health& h) const { return h.sick && !h.ok_since; }
  // Calls are out there for too long and nothing has been answered since: silent, or standing still.
  bool stalled(const Endpoint& e) const {
    return !e.out.empty() && *e.out.begin() + stall_time(*e.route) <= now_ &&
           e.health.last_ok < *e.out.begin();
  }

  bool unwell(const Endpoint& e) const { return failing(e.health) || failing(e.route->health) || stalled(e); }
  bool pins_slots(const Endpoint& e) const {
    return unwell(e) || e.route->answer_mean > kSlowTimes * std::exp(usual_answer_);
  }
  std::size_t sick_in_flight() const {
    std::size_t n = 0;
    for (const auto& [id, call] : calls_) n += pins_slots(endpoints_.at(call.endpoint)) ? 1 : 0;
    return n;
  }

  // Calls that a destination may get in overload_time at this moment, from all forwarders.
  double cold_budget(const Health& h, double rate) const {
    double warm = h.ok_since ? seconds(now_ - *h.ok_since) / std::max(1e-6, seconds(s_.cold_time)) : 0;
    double capacity = rate * (s_.cold_from + (1 - s_.cold_from) * warm) / (s_.rates_rough ? kRoughRate : 1);
    return s_.overload_factor * capacity * seconds(s_.overload_time);
  }
  // Where one call of each forwarder is too much, trials come at random times, so seldom that all that may
  // have messages waiting keep the budget together: one for each call that the rate allowed since, and more
  // where messages come in clumps or the outage began before this forwarder saw it.
  void draw_trial(Health& h, double rate) {
    const double outage = seconds(std::max(s_.overload_time, now_ - h.failing_since));
    const double allowed = rate * outage, waiting = allowed + kUnseenSpreads * std::sqrt(allowed);
    h.last_trial = now_;
    h.trial_turns = (0.5 + draw()) * (rate > 0 ? std::clamp(waiting, 1.0, 1.0 * s_.forwarders) : outage);
  }
  Time next_trial(const Health& h, double rate, std::size_t waiting) const {
    const double budget = cold_budget(h, rate > 0 ? rate : 1) * kLargestPart + (rate > 0 ? 1 : 0);
    const double turns =
        h.trial_turns / (rate > 0 ? 1 : static_cast<double>(std::max<std::size_t>(1, waiting)));
    return h.last_trial + from_seconds(seconds(s_.overload_time) * turns / budget);
  }

  // Slow start after an outage: this forwarder's part of what the destination can take now. The first success
  // after the last failure stands for the return. Each success without a refusal between earns a call more.
  Time budget_gate(Health& h, double rate, std::size_t waiting) {
    if (h.sick && h.ok_since && now_ - *h.ok_since >= s_.cold_time) {
      h.sick = false;
      h.fail_share = h.doubt_share = 0;
    }
    std::erase_if(h.sends, [this](Time t) { return t + s_.overload_time <= now_; });
    if (!h.sick) return now_;
    const double whole = cold_budget(h, rate);
    if (whole < s_.forwarders && s_.forwarders > 1) return std::max(now_, next_trial(h, rate, waiting));
    const double budget = std::max(whole * even(), std::min(whole * even() + h.earned, whole * kLargestPart));
    if (static_cast<double>(h.sends.size()) + 1 <= std::max(1.0, budget)) return now_;
    return h.sends.front() + s_.overload_time;
  }

  // No more calls fit on the connections that the endpoint takes. One more is tried now and then.
  bool crowded_out(const Endpoint& e) const {
    const double more = seconds(now_ - e.crowded_at) / seconds(e.crowded_gap);
    return static_cast<double>(e.out.size()) >= e.most_out + std::floor(more);
  }

  // Every send passes here. Returns now if it may go, else the time at which to look again, or kNever when
  // only an event can open the way. Without a message: the rules that bind any send.
  Time gate(Endpoint& e, const Message* m) {
    Route& r = *e.route;
    if (e.entry.condition != Condition::ready) return kNever;  // drains: nothing new from that event on
    Time open = std::max(now_, r.wait_until);                  // waits: for any message
    if (open_call(e) == calls_.end()) {
      if (calls_.size() >= s_.slots) return kNever;
      if (r.in_flight >= static_cast<std::size_t>(r.window)) return kNever;
      if (crowded_out(e)) return kNever;
      for (Health* h : {&e.health, &r.health}) {
        if (kept_.count(e.entry.endpoint)) break;  // the fleet rests enough: only the cold budget binds
        open = std::max(open, h->rest_until);
        std::size_t out = h == &e.health ? e.out.size() : r.in_flight;
        if (failing(*h) && out > 0) return kNever;  // half-open: one trial at a time
      }
      const Destination& d = destinations_.at(e.entry.destination);
      open = std::max(open, budget_gate(r.health, r.rate, d.waiting.size()));
      const double siblings = routes_apart(e.entry) ? 1 : static_cast<double>(d.endpoints.size());
      open = std::max(open, budget_gate(e.health, r.rate / siblings, d.waiting.size()));
      if (stalled(e)) open = std::max(open, *e.out.rbegin() + stall_time(r));
      if (pins_slots(e) && sick_in_flight() >= share_of(s_.slots, kSickShare)) return kNever;
      open = std::max({open, next_token(r), r.turn});
    }
    if (m == nullptr) return open;
    open = std::max(open, m->not_before);
    if (m->attempts >= s_.max_attempts) return kNever;
    if (!recording_ && m->rules->effect != Effect::safe) return kNever;
    if (open + answer_time(r) > m->deadline) return kNever;
    // Guards against calls cut off by the end of the process, whose effect nobody would know.
    if (open + (m->rules->effect == Effect::safe ? answer_time(r) : stall_time(r)) > stop_at_) return kNever;
    if (m->rules->sequential && m->facts.key != 0) {
      const KeyLine& line = keys_.at(m->facts.key);
      if (line.line.front() != m->facts.id) return kNever;
      open = std::max(open, line.quiet_until);
    }
    if (m->may_have_run) {
      if (m->rules->effect == Effect::unsafe) return kNever;
      const bool scoped = m->rules->effect == Effect::keyed && m->rules->key_scope == KeyScope::zone;
      if (scoped && e.entry.zone != m->doubt_zone) return kNever;
    }
    if (open > last_begin(*m)) return kNever;
    // A message that cannot be repeated is kept back while calls here may fail with their effect unknown.
    const double doubt = std::max(e.health.doubt_share, r.health.doubt_share);
    if (m->rules->effect == Effect::unsafe && (doubt >= kDoubtHeld || stalled(e))) {
      Time last_chance = m->deadline - stall_time(r);
      if (last_chance > open) open = last_chance;
    }
    return open;
  }

  // Sends of one moment to one endpoint share a call where its kind allows it.
  std::map<std::size_t, Call>::iterator open_call(const Endpoint& e) {
    std::size_t batch = e.entry.kind < s_.kinds.size() ? s_.kinds[e.entry.kind].batch : 1;
    if (batch < 2 || e.out.empty() || *e.out.rbegin() != now_) return calls_.end();
    for (auto it = calls_.rbegin(); it != calls_.rend() && it->second.sent_at == now_; ++it) {
      if (it->second.endpoint == e.entry.endpoint && it->second.members < batch) return std::prev(it.base());
    }
    return calls_.end();
  }

  double pace(const Route& r) const { return limit(r) * r.pace_share; }
  Time next_token(Route& r) {
    if (r.rate <= 0) return now_;
    if (r.tokens_at > now_) return r.tokens_at;
    if (r.tokens_at > kLongAgo) r.tokens += pace(r) * seconds(now_ - r.tokens_at);
    r.tokens = std::min(r.tokens, std::max(1.0, pace(r) * r.burst_seconds));
    r.tokens_at = now_;
    return r.tokens >= 1 ? now_ : now_ + from_seconds((1 - r.tokens) / pace(r)) + Time(1);
  }

  double worth_at(const Message& m, Time t) const {
    const ClassSettings& c = *m.rules;
    if (t >= m.deadline) return 0;
    double late = seconds(t - m.handed_in - c.aim);
    if (late <= 0) return c.worth;
    if (s_.late == LateWorth::halves) {
      return c.worth * std::max(c.late_worth, std::exp2(-late / std::max(1e-3, seconds(c.aim))));
    }
    double span = std::max(1e-3, seconds(c.deadline - c.aim));
    return c.worth * (1 - (1 - c.late_worth) * std::min(1.0, late / span));
  }

  // The endpoint that is least busy, in the own zone where crossing costs, over a connection that is open.
  // The tie-breaker guards against all forwarders starting with one endpoint and staying on its connection.
  std::tuple<double, Time, std::uint64_t> rank(const Endpoint& e) const {
    double cost = static_cast<double>(e.out.size()) + 4 * e.health.fail_share;
    if (e.entry.zone != s_.zone && s_.cross_zone_price > 0) cost += 1;
    return {warm(e) ? cost : cost + 0.5, e.last_used, e.tie_breaker};
  }
  bool warm(const Endpoint& e) const {
    if (e.connections == 0) return false;
    const bool room = e.connections * s_.calls_per_connection > e.out.size();
    return room && (!e.out.empty() || now_ - e.last_used < s_.connection_idle);
  }
  std::size_t connections_for(std::size_t calls) const {
    return (calls + s_.calls_per_connection - 1) / s_.calls_per_connection;
  }
  // Guards against idle connections of many forwarders filling the few that endpoints of a kind take. One
  // that found no place surely tells it: for a while none is kept that would be idle mostly. A connect that
  // failed may, or tell of a crash: none is kept that would seldom be used again in time.
  bool scarce(const Endpoint& e) const {
    const auto it = scarce_until_.find(e.entry.kind);
    if (it == scarce_until_.end()) return false;
    if (now_ < it->second.second)
      return own_rate(*e.route, kMultiplierMost) * expected_answer(*e.route) < kMostlyIdle;
    const double used = seconds(s_.connection_idle) * arrivals_ / (seconds(now_ - start_) + 1);
    return used < static_cast<double>(endpoints_.size()) && now_ < it->second.first;
  }
  void close_idle(Endpoint& e) {
    if (e.connections <= connections_for(e.out.size())) return;
    act(CloseIdle{e.entry.endpoint});
    e.connections = connections_for(e.out.size());
  }
  void find_scarce(const Endpoint& failed, bool sure) {
    const bool known = scarce(failed);
    auto& [maybe, surely] = scarce_until_[failed.entry.kind];
    (sure ? surely : maybe) = now_ + s_.connection_idle * kIdlePart;
    if (known || !scarce(failed)) return;
    for (auto& [id, e] : endpoints_) {
      if (e.entry.kind == failed.entry.kind) close_idle(e);
    }
  }

  void dispatch() {
    make_room();
    free_slots();
    double slot_seconds = 0;  // of all that waits
    for (DestinationId id : std::vector<DestinationId>(busy_.begin(), busy_.end())) {
      Destination& d = destinations_.at(id);
      give_up(d);
      const double answer =
          d.endpoints.empty() ? 0 : expected_answer(*endpoints_.at(*d.endpoints.begin()).route);
      slot_seconds += static_cast<double>(d.waiting.size()) * answer;
    }
    const double slots_drain = slot_seconds / static_cast<double>(s_.slots);
    std::map<DestinationId, Choice> choices;
    for (DestinationId id : busy_) choices[id] = choose(destinations_.at(id), slots_drain);
    while (true) {
      const auto less = [](const auto& a, const auto& b) { return a.second.gain < b.second.gain; };
      const auto best = std::max_element(choices.begin(), choices.end(), less);
      if (best == choices.end() || !best->second.message) break;
      Choice& choice = best->second;
      if (gate(*choice.endpoint, choice.message) <= now_) {
        send(*choice.message, *choice.endpoint);
        stop_waiting(*choice.message);
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
      Time t = gate(e, nullptr);
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
      const std::pair order(u, -(m.handed_in + m.rules->aim));  // then the one that is late first
      if (best.message && order <= best_order) continue;
      Endpoint* endpoint = choose_endpoint(open, m);
      if (!endpoint) continue;
      best = Choice{&m, endpoint, u / expected_answer(*endpoint->route)};
      best_order = order;
    }
    return best;
  }

  Endpoint* choose_endpoint(const std::vector<Endpoint*>& open, const Message& m) {
    Endpoint* best = nullptr;
    for (Endpoint* e : open) {
      const Time t = gate(*e, &m);
      if (t > now_ && t < kNever) wake_at(t);
      if (t <= now_ && (!best || rank(*e) < rank(*best))) best = e;
    }
    return best;
  }

  void send(Message& m, Endpoint& e) {
    Route& r = *e.route;
    auto call = open_call(e);
    if (call == calls_.end()) {
      call = calls_.emplace(++last_call_, Call{e.entry.endpoint, now_, 0, 0}).first;
      if (!warm(e)) e.connections = connections_for(e.out.size() + 1);
      e.out.insert(now_);
      ++r.in_flight;
      r.tokens -= 1;
      if (taking_turns(r)) r.turn = now_ + some_of(r.spread);
      for (Health* h : {&r.health, &e.health}) {
        h->sends.push_back(now_);
        if (h->sick) draw_trial(*h, r.rate);
      }
    }
    call->second.unsafe |= m.rules->effect == Effect::unsafe;
    ++call->second.members;
    ++call->second.outstanding;
    m.call = call->first;
    m.sent_at = now_;
    ++m.attempts;
    act(Send{m.facts.id, e.entry.endpoint, attempt_timeout(r, m), most_idle(), last_begin(m) - now_});
  }

  // A waiting message that no endpoint can take in the time left gets its answer at once. Guards the time
  // that an event costs: all that wait are looked through only when one of them is due, and now and then.
  void give_up(Destination& d) {
    if (now_ < d.look_at) return wake_at(d.look_at);
    d.look_at = now_ + kLookAgain;
    std::vector<Message*> lost;
    for (Message* m : d.waiting) {
      const Time at = give_up_at(d, *m);
      if (at <= now_) lost.push_back(m);
      if (at > now_) d.look_at = std::min(d.look_at, at);
    }
    wake_at(d.look_at);
    for (Message* m : lost) answer(*m, d);
  }

  // Guards against held messages filling the room: the one worth least after as long again is answered.
  void make_room() {
    const std::size_t room = s_.max_held - std::min(s_.max_held - 1, share_of(s_.max_held, kRoomReserve));
    auto promise = [this](const Message& m) { return worth_at(m, now_ + (now_ - m.handed_in)); };
    while (messages_.size() > room) {
      std::pair<double, Message*> least{kNoLimit, nullptr};
      for (DestinationId id : busy_) {
        for (Message* m : destinations_.at(id).waiting) {
          if (const double p = promise(*m); p < least.first) least = {p, m};
        }
      }
      if (!least.second) return;
      answer(*least.second, destinations_.at(least.second->facts.destination), true);
    }
  }

  // Guards against calls without an answer holding every slot, or every connection that an endpoint takes,
  // while messages wait. The most overdue one is called off, though its answer may have been about to come.
  void free_slots() {
    if (!s_.can_cancel) return;
    bool wanted = false;  // any slot
    for (auto id = busy_.begin(); id != busy_.end() && calls_.size() >= s_.slots; ++id) {
      for (EndpointId endpoint : destinations_.at(*id).endpoints) wanted |= !unwell(endpoints_.at(endpoint));
    }
    std::pair<double, std::size_t> most{1, 0};
    Time next = wanted ? now_ + base_multiplier() / 2 : kNever;  // a call may count as stalled by then
    for (const auto& [id, call] : calls_) {
      if (call.cancelled) return;  // one at a time: its slot is about to come free
      const Endpoint& e = endpoints_.at(call.endpoint);
      if (!wanted && !(busy_.count(e.entry.destination) && crowded_out(e))) continue;
      const Time patience = slot_patience(call, e);
      next = std::min(next, call.sent_at + patience + Time(1));
      most = std::max(most, std::pair(seconds(now_ - call.sent_at) / seconds(patience), id));
    }
    if (most.second == 0) return wake_at(std::max(next, now_ + s_.resolution));
    calls_.at(most.second).cancelled = true;
    for (const auto& [id, m] : messages_) {
      if (m.call == most.second) act(Cancel{id, m.attempts - 1});
    }
  }

  // A repeat is dropped only for so long, so it begins within that time, however long its connection takes.
  Time last_begin(const Message& m) const {
    const bool guarded = m.may_have_run && m.rules->effect == Effect::keyed;
    return guarded ? std::min(m.deadline, m.doubt_since + m.rules->window) : m.deadline;
  }
  Time give_up_at(const Destination& d, const Message& m) const {
    const Time last = last_send(d, m);
    return std::max(now_, m.not_before) >= last ? now_ : last;
  }
  Time last_send(const Destination& d, const Message& m) const {
    if (m.attempts >= s_.max_attempts) return now_;
    if (m.may_have_run && m.rules->effect == Effect::unsafe) return now_;
    Time last = last_begin(m);
    Time call = kNever, wait = kNever;
    for (EndpointId id : d.endpoints) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::ready) continue;
      call = std::min(call, answer_time(*e.route));
      wait = std::min(wait, e.route->wait_until);
    }
    if (call == kNever) return m.deadline - s_.resolution * 2;  // nowhere to go now; the list may bring it
    last = std::min(last, m.deadline - std::max(call, s_.resolution * 2));
    return wait >= last ? now_ : last;
  }

  void answer(Message& m, const Destination& d, bool for_room = false) {
    bool may_refuse = !m.may_have_run || m.rules->effect == Effect::safe ||
                      (m.rules->effect == Effect::keyed && m.rules->key_scope == KeyScope::all);
    const GiveUpReason why = for_room                        ? GiveUpReason::room
                             : m.attempts >= s_.max_attempts ? GiveUpReason::attempts
                             : may_refuse                    ? GiveUpReason::time
                                                             : GiveUpReason::doubt;
    may_refuse ? act(Refuse{m.facts.id, return_after(d), why}) : act(Fail{m.facts.id, why});
    end(m);
  }

  Time return_after(const Destination& d) const {
    if (!s_.can_advise_return) return Time(0);
    Time soonest = now_ + s_.max_return_after;
    for (EndpointId id : d.endpoints) {
      const Endpoint& e = endpoints_.at(id);
      if (e.entry.condition != Condition::ready) continue;
      const Route& r = *e.route;
      soonest = std::min(soonest, std::max({r.wait_until, r.turn, e.health.rest_until, r.health.rest_until}));
    }
    return std::min(std::max(base_multiplier(), soonest - now_), s_.max_return_after);
  }

  // Ends the message; its record stays while a call of it is still out.
  void end(Message& m) {
    m.ended = true;
    if (m.call != 0) return;
    MessageId id = m.facts.id;
    stop_waiting(m);
    if (m.rules->sequential && m.facts.key != 0) {
      std::erase(keys_.at(m.facts.key).line, id);
      if (keys_.at(m.facts.key).line.empty()) quiet_.emplace_back(now_ + s_.key_quiet, m.facts.key);
    }
    messages_.erase(id);
  }

  void wake_at(Time t) { due_ = std::min(due_, t); }
  void set_timer() {
    if (s_.list_on_request) wake_at(next_ask_);
    if (due_ < timer_at_ && due_ < kNever) {
      timer_at_ = std::max(due_, now_ + Time(1));
      act(SetTimer{timer_at_, 0});
    }
    due_ = kNever;
  }

  const Settings s_;
  std::mt19937_64 random_;
  Time now_{}, start_{};
  std::vector<Action>* out_ = nullptr;
  std::map<std::pair<DestinationId, std::optional<EndpointId>>, Route> routes_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::set<DestinationId> busy_;  // those for which messages wait
  std::map<MessageId, Message> messages_;
  std::map<std::size_t, Call> calls_;
  std::map<std::uint64_t, KeyLine> keys_;
  std::set<EndpointId> gone_;                         // not forgotten yet
  std::deque<std::pair<Time, std::uint64_t>> quiet_;  // keys without a message, by when they may be forgotten
  std::size_t last_call_ = 0;
  std::array<Risk, 11> kept_risk_;  // by how long the connection had stood idle
  Risk new_risk_;
  Time risk_seen_ = kLongAgo;
  // By kind, until when connections are not kept idle: one may have found no place, or one surely has.
  std::map<std::uint32_t, std::pair<Time, Time>> scarce_until_;
  double lost_share_ = 0;  // of overdue calls, as it was at that time
  Time lost_at_{};
  double usual_answer_ = kNoLimit;  // mean of the logarithm of answer times, in seconds
  double arrivals_ = 0;             // messages in this life
  double listed_rate_ = 0;          // of all routes
  std::size_t log_lines_ = 0;
  int list_failures_ = 0;
  Time next_ask_ = kNever, due_ = kNever, timer_at_ = kNever, stop_at_ = kNever;
  std::set<EndpointId> kept_;  // that may not rest
  bool recording_ = true;      // attempts, by the caller
};

Forwarder::Forwarder(const Settings& settings) : policy_(std::make_unique<Policy>(settings)) {}
Forwarder::~Forwarder() = default;
Forwarder::Forwarder(Forwarder&&) noexcept = default;
Forwarder& Forwarder::operator=(Forwarder&&) noexcept = default;
std::size_t Forwarder::records() const { return policy_->records(); }
std::vector<Ailing> Forwarder::ailing() const { return policy_->ailing(); }
void Forwarder::start(Time now, std::vector<Action>& actions) { policy_->start(now, actions); }
void Forwarder::handle(Time now, const Event& event, std::vector<Action>& actions) {
  policy_->handle(now, event, actions);
}

}  // namespace starlinghook

#include "delivery_memory.hpp"
