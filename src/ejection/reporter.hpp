// One relay's part in the fleet's cap on endpoints out: it reports what it rests, and heeds the arbiter's
// verdict while that is fresh. Decisions only, without input, output or clock; a part of the reducer's state.
//
// A relay rests an endpoint at once and alone, as it would without the fleet: resting protects the endpoint,
// and must not wait for a store. What the verdict does is to take rests back beyond the cap. A verdict that
// is not renewed within `stale` binds no more, so that without Consul, or without an arbiter, each relay is
// where it would be without this.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cap.hpp"

namespace fennellane::ejection {

struct ReporterSettings {
  std::string relay;
  Time every = std::chrono::seconds(2);   // between two looks at what rests
  Time stale = std::chrono::seconds(15);  // a verdict, or a report, that is not renewed
  std::size_t max_endpoints = 256;        // endpoints in one report, the worst first
  bool operator==(const ReporterSettings&) const = default;
};
// A report or a verdict that does not change is written anew so often.
inline Time renew_every(Time stale) { return stale / 3; }

// --- What the caller tells
struct CheckTimerExpired {
  View view;
};
struct VerdictSeen {
  std::optional<Verdict> verdict;  // none: the key is not there
  bool index_reset = false;        // Consul's index went backwards: tokens may begin anew
};
using ReporterInput = std::variant<CheckTimerExpired, VerdictSeen>;

// --- What the caller does
struct WriteReport {
  Report report;
};
struct SetCheckTimer {  // replaces the one before
  Time at{};
};
struct CapEndpoints {  // in force from now on; none: no cap
  std::optional<Verdict> verdict;
};
struct ReporterLogMessage {
  std::string text;
};
using ReporterEffect = std::variant<WriteReport, SetCheckTimer, CapEndpoints, ReporterLogMessage>;

class Reporter {
 public:
  explicit Reporter(const ReporterSettings& settings) : settings_(settings) {}

  std::vector<ReporterEffect> handle(Time now, const ReporterInput& input);
  const std::optional<Verdict>& cap() const { return cap_; }

  // A process that took over from another goes on counting its reports; the cap comes with the next verdict.
  template <class Archive>
  void serialize_state(Archive& archive) {
    archive(heartbeat_);
  }

 private:
  using Effects = std::vector<ReporterEffect>;
  void on(Time now, const CheckTimerExpired& look, Effects& out);
  void on(Time now, const VerdictSeen& seen, Effects& out);
  void lift(const std::string& why, Effects& out);

  const ReporterSettings settings_;
  std::uint64_t heartbeat_ = 0;
  std::vector<DegradedEndpoint> reported_;
  std::optional<Time> reported_at_;
  Token top_ = 0;                  // the highest seen: a lower one is an old arbiter's
  std::optional<Verdict> newest_;  // heard; it may be old when it is the first
  std::optional<Verdict> cap_;     // in force
  Time renewed_at_{};              // when it was renewed last
};

}  // namespace fennellane::ejection
