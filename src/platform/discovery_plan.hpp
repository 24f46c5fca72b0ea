// Decides when the client of discovery connects, what it asks for, and which connections it gives up. Pure
// state machine: performs no I/O and reads no clock. docs/discovery.md holds its times against the
// protocol's.
//
// While nothing is heard, attempts overlap: a new one begins after each interval, and some of the earlier
// ones are kept. So an answer that is merely slow is heard, and no pending request or pause delays the answer
// to a request made after discovery has returned. A watch that has fallen silent is kept as well until
// another one is answered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

#include "limits.hpp"
#include "retry_backoff.hpp"

namespace fennellane {

enum class DiscoveryRequest : std::uint8_t { full_list, watch };

// Why an attempt, or a watch, has ended.
enum class AttemptEnd : std::uint8_t {
  not_connected,
  rejected,    // a status other than 200
  unusable,    // an answer that cannot be used
  closed,      // by discovery
  silent,      // a watch without even an empty line
  redirected,  // discovery has another address
  complete     // a full list was read
};
std::string_view attempt_end_text(AttemptEnd end);

using AttemptId = std::uint32_t;

struct StartAttempt {
  AttemptId id = 0;
  DiscoveryRequest request{};
};
struct CloseAttempt {
  AttemptId id = 0;
};
// Nothing is heard from discovery from now on.
struct HearingLost {
  AttemptEnd reason{};
  Time heard_for{};
};
// Discovery is heard again, or for the first time.
struct HearingRegained {
  Time lost_for{};
  std::size_t attempts = 0;  // since it was lost, including the one that was answered
};
using DiscoveryEffect = std::variant<StartAttempt, CloseAttempt, HearingLost, HearingRegained>;

class DiscoveryPlan {
 public:
  using Effects = std::vector<DiscoveryEffect>;

  DiscoveryPlan(const DiscoveryTiming& timing, std::uint64_t seed);

  // `have_list`: a full list is known, so that a watch is enough.
  Effects start(Time now, bool have_list);
  // Discovery is at another address, whose full list is not known.
  Effects redirect(Time now);
  // A part of the attempt's answer, with status 200, has arrived; for a watch, its head or a part of a line.
  Effects on_input(Time now, AttemptId id);
  // A line of the watch was read and applied, or an empty line.
  Effects on_line(Time now, AttemptId id);
  // The attempt has ended by itself. `complete` for a full list that was read and applied.
  Effects on_ended(Time now, AttemptId id, AttemptEnd reason);
  Effects on_timer(Time now);

  // When `on_timer` is due; max() if never.
  Time next_timer(Time now) const;

 private:
  struct Attempt {
    DiscoveryRequest request{};
    Time started{};
    bool patient = false;  // kept until the attempt's timeout, so that a slow answer is heard
    std::optional<Time> last_input;
    bool line_pending = true;  // of a watch: its first line, or the rest of one, is still to come
  };

  void tick(Time now, Effects& effects);
  void begin(Time now);
  void start_attempt(Time now, Effects& effects);
  bool starts_patient(Time now) const;
  Time silence_limit(const Attempt& attempt) const;
  Time expiry(const Attempt& attempt) const;
  bool receives(const Attempt& attempt, Time now) const;
  bool is_receiving(Time now) const;
  void learn_interval(Time now);
  Time jitter();
  template <class Predicate>
  void close_if(Predicate matches, Effects& effects);
  void close_all(Effects& effects);
  void lose_hearing(Time now, AttemptEnd reason, Effects& effects);

  const DiscoveryTiming timing_;
  std::mt19937_64 random_;
  RetryBackoff retry_;
  std::map<AttemptId, Attempt> attempts_;
  AttemptId last_id_ = 0;
  Time last_started_{};  // the newest attempt
  Time interval_{};      // between two attempts
  bool started_ = false;
  bool have_list_ = false;
  Time next_start_{};                  // of an attempt, while nothing is heard
  std::optional<Time> hearing_since_;  // a watch has sent a line and is not silent
  Time lost_since_{};
  std::size_t attempts_since_lost_ = 0;
};

}  // namespace fennellane
