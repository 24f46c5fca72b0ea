#include "mover.hpp"

namespace fennellane::release {

std::vector<MoverEffect> Mover::handle(Time now, const MoverInput& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  return out;
}

std::optional<std::string> Mover::wanted() const {
  if (!state_) return std::nullopt;
  const std::optional<std::string> build = wanted_build(*state_, settings_.relay);
  if (!build || *build == settings_.build || failed_ == state_->id + " " + *build) return std::nullopt;
  return build;
}

void Mover::on(Time now, const StateSeen& seen, Effects& out) {
  const bool other = !state_ || !seen.state || state_->id != seen.state->id;
  const bool turned = !other && state_->phase != seen.state->phase;
  state_ = seen.state;
  // An operator who lets a halted release go on wants it tried again.
  if (other || (turned && state_->phase == Phase::rolling)) {
    trouble_.clear();
    failed_.clear();
  }
  // Told at once, so that nobody waits for a report to come by itself.
  if (active() && (!reporting_ || turned)) out.emplace_back(SetReportTimer{now});
  reporting_ = active();
  const bool wants = wanted().has_value();
  if (wants == asked_ || moving_) return;
  asked_ = wants;
  if (wants) {
    out.emplace_back(AskSlot{});
  } else {
    out.emplace_back(LeaveSlot{});  // a halt finds it still in the queue
  }
}

void Mover::on(Time, const SlotGranted&, Effects& out) {
  const std::optional<std::string> build = wanted();
  if (!build) {
    asked_ = false;
    out.emplace_back(LeaveSlot{});
    return;
  }
  moving_ = true;
  out.emplace_back(Move{*build});
}

void Mover::on(Time now, const MoveFailed& failed, Effects& out) {
  if (!moving_) return;
  moving_ = asked_ = false;
  if (state_) {
    const std::optional<std::string> build = wanted();
    if (build) failed_ = state_->id + " " + *build;
  }
  trouble_ = failed.reason;
  out.emplace_back(LeaveSlot{});
  out.emplace_back(SetReportTimer{now});
  // What is wanted may have changed meanwhile.
  if (wanted()) {
    asked_ = true;
    out.emplace_back(AskSlot{});
  }
}

void Mover::on(Time now, const ReportTimerExpired& due, Effects& out) {
  if (!active()) {
    reporting_ = false;
    return;
  }
  out.emplace_back(WriteReport{{settings_.relay, settings_.zone, state_->id, settings_.build, ++heartbeat_,
                                trouble_, asked_ ? due.waits : "", due.sums}});
  out.emplace_back(SetReportTimer{now + settings_.report_every});
}

}  // namespace fennellane::release
