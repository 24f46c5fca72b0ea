#include "coordinator.hpp"

#include <algorithm>

namespace fennellane::release {

std::vector<CoordinatorEffect> Coordinator::handle(Time now, const CoordinatorInput& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  return out;
}

std::vector<CoordinatorEffect> Coordinator::activate(Time now, lease::Token token,
                                                     const std::string& session) {
  Effects out;
  token_ = token;
  session_ = session;
  // What another has watched was on another clock: it begins anew.
  received_.clear();
  reading_ = writing_ = false;
  begin_phase(now);
  on(now, CheckTimerExpired{}, out);
  return out;
}

void Coordinator::deactivate() { token_.reset(); }

void Coordinator::begin_phase(Time now) {
  phase_since_ = now;
  watched_since_.reset();
  before_.clear();
}

void Coordinator::on(Time now, const StateSeen& seen, Effects& out) {
  const bool changed = state_ != seen.state;
  state_ = seen.state;
  index_ = seen.index;
  writing_ = false;
  if (!changed) return;
  begin_phase(now);
  if (token_ && busy() && !check_scheduled_) on(now, CheckTimerExpired{}, out);
}

void Coordinator::on(Time now, const CheckTimerExpired&, Effects& out) {
  check_scheduled_ = token_ && busy();
  if (!check_scheduled_) return;
  out.emplace_back(SetCheckTimer{now + settings_.check_interval});
  if (reading_) return;
  reading_ = true;
  out.emplace_back(ReadReports{});
}

void Coordinator::on(Time, const StateWritten& written, Effects& out) {
  // Taken or refused, the watch brings the state as it is now; after a failure it may not have changed.
  if (written.result == StateWritten::Result::unknown) writing_ = false;
  if (written.result == StateWritten::Result::refused)
    out.emplace_back(CoordinatorLogMessage{"a step was refused, as the role or the state has changed"});
}

void Coordinator::on(Time now, const ReportsRead& read, Effects& out) {
  reading_ = false;
  if (!token_ || !busy() || !read.ok) return;
  std::map<std::string, ReceivedReport> heard;
  for (const Report& r : read.reports) {
    if (r.release != state_->id) continue;
    const auto known = received_.find(r.relay);
    const bool grown = known == received_.end() || r.heartbeat != known->second.report.heartbeat;
    heard[r.relay] = {r, grown ? now : known->second.at};
  }
  received_ = std::move(heard);
  if (writing_) return;
  if (state_->phase == Phase::gathering) gather(now, out);
  if (state_->phase == Phase::rolling) roll(now, out);
  if (state_->phase == Phase::back) come_back(now, out);
}

std::vector<Report> Coordinator::serving(Time now) const {
  std::vector<Report> all;
  for (const auto& [relay, h] : received_)
    if (now - h.at < settings_.silent) all.push_back(h.report);
  return all;
}

bool Coordinator::moved(const std::string& relay) const {
  const auto it = received_.find(relay);
  return it != received_.end() && it->second.report.build == state_->to;
}

void Coordinator::write(State next, const std::string& said, Effects& out) {
  writing_ = true;
  const bool first = state_->phase == Phase::gathering;
  out.emplace_back(CoordinatorLogMessage{said});
  out.emplace_back(WriteState{session_, *token_, index_, std::move(next), first});
}

void Coordinator::breach(const std::string& why, bool of_health, Effects& out) {
  State next = *state_;
  next.phase = of_health && state_->auto_back ? Phase::back : Phase::halted;
  next.reason = why;
  const std::string said = std::string(name_of(next.phase)) + ": " + why;
  write(std::move(next), said, out);
}

void Coordinator::gather(Time now, Effects& out) {
  if (now - phase_since_ < settings_.gather) return;
  std::vector<Report> relays = serving(now);
  std::erase_if(relays, [this](const Report& r) { return r.build != state_->from; });
  if (relays.empty()) return breach("no relay reports that it runs " + state_->from, false, out);
  State next = *state_;
  next.phase = Phase::rolling;
  next.waves = plan_waves(relays, state_->steps);
  next.wave = 0;
  const std::string said = "rolls " + state_->to + " out to " + std::to_string(relays.size()) +
                           " relays in " + std::to_string(next.waves.size()) + " waves, first " +
                           next.waves[0][0];
  write(std::move(next), said, out);
}

void Coordinator::roll(Time now, Effects& out) {
  bool all = true;
  for (const std::string& relay : ordered_relays(*state_)) {
    if (moved(relay)) continue;
    const auto it = received_.find(relay);
    if (it != received_.end() && !it->second.report.trouble.empty())
      return breach(relay + " could not move: " + it->second.report.trouble, true, out);
    all = false;
  }
  if (!all) {
    watched_since_.reset();
    if (now - phase_since_ < settings_.move) return;
    for (const std::string& relay : state_->waves[state_->wave])
      if (!moved(relay)) return breach(relay + " has not moved in time", false, out);
    // One of an earlier wave, that has begun again with the old build.
    return breach("a relay that had moved runs " + state_->from + " again", false, out);
  }
  watch_wave(now, out);
}

std::pair<Sums, Sums> Coordinator::sides() const {
  Sums moved_side, rest;
  for (const auto& [relay, h] : received_) {
    const auto it = before_.find(relay);
    if (it == before_.end()) continue;
    (h.report.build == state_->to ? moved_side : rest) += since(it->second, h.report.sums);
  }
  return {moved_side, rest};
}

void Coordinator::watch_wave(Time now, Effects& out) {
  if (!watched_since_) {
    watched_since_ = now;
    before_.clear();
    for (const auto& [relay, h] : received_) before_[relay] = h.report.sums;
  }
  const auto [moved_side, rest] = sides();
  const bool last = state_->wave + 1 >= state_->waves.size();
  // The last wave leaves none to be held against: then it is how the rest did before.
  const Sums& against = last ? state_->base : rest;
  const std::string fault = worse(moved_side, against, settings_.test);
  if (!fault.empty()) return breach(fault, true, out);
  for (const auto& wave : state_->waves)
    for (const std::string& relay : wave)
      if (const auto it = received_.find(relay);
          it != received_.end() && moved(relay) && now - it->second.at >= settings_.silent)
        return breach(relay + " has moved and reports no more", true, out);
  const Time watched = now - *watched_since_;
  if (watched < settings_.watch) return;
  if (!tells(moved_side, against, settings_.test) && watched < settings_.max_watch) return;
  next_wave(now, rest, out);
}

void Coordinator::next_wave(Time now, const Sums& rest, Effects& out) {
  State next = *state_;
  if (rest.ends > 0) next.base = rest;
  if (state_->wave + 1 < state_->waves.size()) {
    ++next.wave;
    return write(std::move(next),
                 "wave " + std::to_string(state_->wave + 2) + " of " + std::to_string(state_->waves.size()) +
                     " begins",
                 out);
  }
  // Those that came after the waves were planned, or were down then.
  std::vector<std::string> left;
  for (const Report& r : serving(now))
    if (r.build == state_->from) left.push_back(r.relay);
  if (!left.empty()) {
    const std::string said = "one more wave, of " + std::to_string(left.size()) + " that came later";
    next.waves.push_back(std::move(left));
    ++next.wave;
    return write(std::move(next), said, out);
  }
  next.phase = Phase::done;
  write(std::move(next), "done", out);
}

void Coordinator::come_back(Time now, Effects& out) {
  for (const Report& r : serving(now))
    if (r.build == state_->to) return;
  // Guards against taking a fleet that has not reported for one that is back; who is lost is waited for so
  // long.
  if (now - phase_since_ < settings_.move)
    for (const std::string& relay : ordered_relays(*state_))
      if (received_.count(relay) == 0) return;
  State next = *state_;
  next.phase = Phase::returned;
  write(std::move(next), "all are back at " + state_->from, out);
}

}  // namespace fennellane::release
