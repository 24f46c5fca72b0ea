// The coordinator of a staged release, for as long as its relay holds the role `drain`: plans the waves, lets
// one after the other begin, holds those that moved against the rest, halts or turns back. All it knows is
// the state in the store, so that another takes up where one was lost. Decisions only, without input, output
// or clock. See docs/drains.md.
//
// Each change of the state is one transaction: check-session on the role's key and cas on the state as it was
// read. So an old coordinator that wakes moves nothing, and none takes back what an operator has written
// since.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mover.hpp"
#include "write_result.hpp"

namespace fennellane::release {

struct CoordinatorSettings {
  Time check_interval = std::chrono::seconds(5);  // between two reads of the reports
  Time gather = std::chrono::seconds(15);         // from the beginning until the waves are planned
  Time watch = std::chrono::minutes(2);           // a wave that has moved, before the next
  Time max_watch = std::chrono::minutes(10);      // likewise, where there is too little traffic to tell
  Time move = std::chrono::minutes(5);            // from a wave's beginning until all of it have moved
  Time silent = std::chrono::seconds(20);         // without a report a relay does not count as serving
  HealthTest test;
  bool operator==(const CoordinatorSettings&) const = default;
};

// --- What the caller tells, beside StateSeen
struct ReportsRead {
  bool ok = false;
  std::vector<Report> reports;
};
struct StateWritten {
  using Result = lease::WriteResult;
  Result result{};
};
struct CheckTimerExpired {};
using CoordinatorInput = std::variant<StateSeen, ReportsRead, StateWritten, CheckTimerExpired>;

// --- What the caller does
struct ReadReports {};
struct WriteState {
  std::string session;  // of the role
  lease::Token token = 0;
  std::uint64_t index = 0;  // of the state as it was read
  State state;
  bool clears_reports = false;  // of earlier releases, in the same transaction
};
struct SetCheckTimer {
  Time at{};
};
struct CoordinatorLogMessage {
  std::string text;
};
using CoordinatorEffect = std::variant<ReadReports, WriteState, SetCheckTimer, CoordinatorLogMessage>;

class Coordinator {
 public:
  explicit Coordinator(const CoordinatorSettings& settings) : settings_(settings) {}

  std::vector<CoordinatorEffect> handle(Time now, const CoordinatorInput& input);
  // Of the role: from now on it acts with this token, or does so no more.
  std::vector<CoordinatorEffect> activate(Time now, lease::Token token, const std::string& session);
  void deactivate();

 private:
  using Effects = std::vector<CoordinatorEffect>;
  void on(Time now, const StateSeen& seen, Effects& out);
  void on(Time now, const ReportsRead& read, Effects& out);
  void on(Time now, const StateWritten& written, Effects& out);
  void on(Time now, const CheckTimerExpired&, Effects& out);
  void gather(Time now, Effects& out);
  void roll(Time now, Effects& out);
  void come_back(Time now, Effects& out);
  void watch_wave(Time now, Effects& out);
  void next_wave(Time now, const Sums& rest, Effects& out);
  void breach(const std::string& why, bool of_health, Effects& out);
  void write(State next, const std::string& said, Effects& out);
  void begin_phase(Time now);
  bool busy() const { return state_ && !is_over(state_->phase) && state_->phase != Phase::halted; }
  bool moved(const std::string& relay) const;
  // The sums of both sides since the wave is watched.
  std::pair<Sums, Sums> sides() const;
  std::vector<Report> serving(Time now) const;  // that have reported on this release lately

  CoordinatorSettings settings_;
  std::optional<lease::Token> token_;
  std::string session_;
  std::optional<State> state_;
  std::uint64_t index_ = 0;
  bool reading_ = false, writing_ = false;
  struct ReceivedReport {
    Report report;
    Time at{};  // when its beat was last seen to have grown, on this relay's clock
  };
  std::map<std::string, ReceivedReport> received_;  // by relay; no more than the newest read names
  Time phase_since_{};                              // as this coordinator has seen it
  std::optional<Time> watched_since_;               // all of the wave have moved
  std::map<std::string, Sums> before_;              // as they were then
  bool check_scheduled_ = false;
};

}  // namespace fennellane::release
