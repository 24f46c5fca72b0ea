// One relay's part in a staged release: it moves to the build that the order wants, with a slot of the
// disruption budget, and reports. Decisions only, without input, output or clock. See docs/drains.md.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state.hpp"

namespace fennellane::release {

struct MoverSettings {
  std::string relay, zone, build;
  Time report_every = std::chrono::seconds(5);
  bool operator==(const MoverSettings&) const = default;
};

// --- What the caller tells
struct StateSeen {
  std::optional<State> state;
  std::uint64_t index = 0;  // its ModifyIndex
};
struct SlotGranted {};  // the relay goes out for this now
struct MoveFailed {     // it serves on, with the build that it had
  std::string reason;
};
struct ReportTimerExpired {
  Sums sums;
  std::string waits;  // for a slot
};
using MoverInput = std::variant<StateSeen, SlotGranted, MoveFailed, ReportTimerExpired>;

// --- What the caller does
struct AskSlot {};
struct LeaveSlot {};  // not wanted any more; or given back
struct Move {         // hand over to this build; a success ends this process
  std::string build;
};
struct WriteReport {
  Report report;
};
struct SetReportTimer {
  Time at{};
};
using MoverEffect = std::variant<AskSlot, LeaveSlot, Move, WriteReport, SetReportTimer>;

class Mover {
 public:
  explicit Mover(const MoverSettings& settings) : settings_(settings) {}

  std::vector<MoverEffect> handle(Time now, const MoverInput& input);

  // A process that took over from another knows by its own name which build it is; what it was doing is over.
  template <class Archive>
  void serialize_state(Archive& archive) {
    archive(heartbeat_);
  }

 private:
  using Effects = std::vector<MoverEffect>;
  void on(Time now, const StateSeen& seen, Effects& out);
  void on(Time now, const SlotGranted&, Effects& out);
  void on(Time now, const MoveFailed& failed, Effects& out);
  void on(Time now, const ReportTimerExpired& due, Effects& out);
  bool active() const { return state_ && !is_over(state_->phase); }
  std::optional<std::string> wanted() const;

  MoverSettings settings_;
  std::optional<State> state_;
  bool asked_ = false;   // for a slot
  bool moving_ = false;  // a handover is under way
  bool reporting_ = false;
  // Guards against trying a build again that could not be moved to: by the release's id and the build.
  std::string failed_, trouble_;
  std::uint64_t heartbeat_ = 0;
};

}  // namespace fennellane::release
