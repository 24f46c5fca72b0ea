#include "roles.hpp"

#include <algorithm>

namespace fennellane::fleet {

Fleet::Fleet(const Plan& plan) : roles_(plan.roles) {
  for (std::uint32_t i = 0; i < roles_.size(); ++i) {
    leases_.emplace_back(plan.timing, plan.seed + i * 1'000'003);
    if (roles_[i] == kSweepRole && plan.sweep) {
      sweep_role_ = i;
      sweep_.emplace(*plan.sweep);
    }
    if (roles_[i] == kRefreshRole && plan.refresh) {
      refresh_role_ = i;
      refresh_.emplace(*plan.refresh, plan.seed);
    }
    if (roles_[i] == kDrainRole && plan.coordinator) {
      drain_role_ = i;
      coordinator_.emplace(*plan.coordinator);
    }
    if (roles_[i] == kEjectionRole && plan.arbiter) {
      ejection_role_ = i;
      arbiter_.emplace(*plan.arbiter);
    }
  }
  if (plan.slot) slot_.emplace(*plan.slot);
  if (plan.slot && plan.mover) mover_.emplace(*plan.mover);
  if (plan.reporter) reporter_.emplace(*plan.reporter);
}

std::vector<std::string> Fleet::snapshot_parts() const {
  std::vector<std::string> all = roles_;
  if (slot_) all.emplace_back("(slot)");
  if (mover_) all.emplace_back("(mover)");
  if (reporter_) all.emplace_back("(reporter)");
  return all;
}

std::vector<Effect> Fleet::handle(Time now, const Input& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  return out;
}

void Fleet::handle_lease_input(Time now, std::uint32_t role, const lease::Input& input, Effects& out) {
  for (lease::Effect& effect : leases_[role].handle(now, input)) {
    if (const auto* say = std::get_if<lease::LogMessage>(&effect)) {
      counts_.acquired += say->event == lease::LogEvent::acquired ? 1 : 0;
      counts_.renews_missed += say->event == lease::LogEvent::renew_missed ? 1 : 0;
      counts_.lapsed += say->event == lease::LogEvent::lapsed ? 1 : 0;
      counts_.lost += say->event == lease::LogEvent::lost ? 1 : 0;
      counts_.given_up += say->event == lease::LogEvent::resigned ? 1 : 0;
    }
    const auto* const act = std::get_if<lease::LeaseActive>(&effect);
    if (role == sweep_role_ && act) {
      sweep_->reset();
      schedule_sweep(now, out);
    }
    Refresh::Effects of_refresh;
    if (role == refresh_role_ && act)
      of_refresh = refresh_->activate(now, act->token, leases_[role].session());
    else if (role == refresh_role_ && std::holds_alternative<lease::LeaseInactive>(effect))
      of_refresh = refresh_->deactivate(now);
    std::vector<release::CoordinatorEffect> of_drain;
    if (role == drain_role_ && act)
      of_drain = coordinator_->activate(now, act->token, leases_[role].session());
    if (role == drain_role_ && std::holds_alternative<lease::LeaseInactive>(effect))
      coordinator_->deactivate();
    std::vector<ejection::ArbiterEffect> of_ejection;
    if (role == ejection_role_ && act)
      of_ejection = arbiter_->activate(now, act->token, leases_[role].session());
    if (role == ejection_role_ && std::holds_alternative<lease::LeaseInactive>(effect))
      arbiter_->deactivate();
    out.emplace_back(LeaseEffect{role, std::move(effect)});
    handle_refresh_effects(now, std::move(of_refresh), out);
    handle_coordinator_effects(now, std::move(of_drain), out);
    handle_arbiter_effects(now, std::move(of_ejection), out);
  }
}

void Fleet::handle_refresh_effects(Time now, Refresh::Effects effects, Effects& out) {
  for (RefreshEffect& effect : effects) {
    if (std::holds_alternative<StepDown>(effect)) {
      // Sought again at once, but behind those that wait for it.
      handle_lease_input(now, *refresh_role_, lease::ResignRole{}, out);
      handle_lease_input(now, *refresh_role_, lease::AcquireRole{}, out);
      continue;
    }
    // Guards against a list shared on behalf of a role whose lease has run out unheard.
    if (const auto* p = std::get_if<Publish>(&effect); p && !leases_[*refresh_role_].may_act(now)) {
      refresh_->handle(now, Published{p->head.token, Published::Result::unknown});
      continue;
    }
    counts_.lists_followed += std::holds_alternative<ApplyList>(effect) ? 1 : 0;
    out.emplace_back(RefreshRoleEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const RefreshRoleInput& heard, Effects& out) {
  if (!refresh_) return;
  if (const auto* p = std::get_if<Published>(&heard.input)) {
    counts_.lists_shared += p->result == Published::Result::accepted ? 1 : 0;
    counts_.shares_refused += p->result == Published::Result::refused ? 1 : 0;
  }
  handle_refresh_effects(now, refresh_->handle(now, heard.input), out);
}

// --- Drains and releases
void Fleet::handle_slot_effects(Time now, std::vector<drain::Effect> effects, Effects& out) {
  for (drain::Effect& effect : effects) {
    const auto* const go = std::get_if<drain::GoOffline>(&effect);
    if (go && go->purpose == drain::Purpose::release && mover_) {
      handle_mover_effects(now, mover_->handle(now, release::SlotGranted{}), out);
    } else {
      out.emplace_back(DrainEffect{std::move(effect)});
    }
  }
}

void Fleet::handle_mover_effects(Time now, std::vector<release::MoverEffect> effects, Effects& out) {
  for (release::MoverEffect& effect : effects) {
    if (std::holds_alternative<release::AskSlot>(effect)) {
      handle_slot_effects(now, slot_->handle(now, drain::Ask{drain::Purpose::release}), out);
    } else if (std::holds_alternative<release::LeaveSlot>(effect)) {
      // Guards a stop that has taken its place.
      const bool ours = slot_->purpose() == drain::Purpose::release;
      handle_slot_effects(now,
                          slot_->handle(now, ours ? drain::Input(drain::OutageEnded{})
                                                  : drain::Cancel{drain::Purpose::release}),
                          out);
    } else {
      out.emplace_back(MoverEffect{std::move(effect)});
    }
  }
}

void Fleet::handle_coordinator_effects(Time now, std::vector<release::CoordinatorEffect> effects,
                                       Effects& out) {
  for (release::CoordinatorEffect& effect : effects) {
    // Guards against a step on behalf of a role whose lease has run out unheard.
    if (std::holds_alternative<release::WriteState>(effect) && !leases_[*drain_role_].may_act(now)) {
      coordinator_->handle(now, release::StateWritten{release::StateWritten::Result::unknown});
      continue;
    }
    out.emplace_back(CoordinatorEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const DrainInput& heard, Effects& out) {
  if (slot_) handle_slot_effects(now, slot_->handle(now, heard.input), out);
}

void Fleet::on(Time now, const ReleaseStateInput& seen, Effects& out) {
  if (mover_) handle_mover_effects(now, mover_->handle(now, seen.input), out);
  if (coordinator_) handle_coordinator_effects(now, coordinator_->handle(now, seen.input), out);
}

void Fleet::on(Time now, const MoverInput& heard, Effects& out) {
  if (!mover_) return;
  release::MoverInput input = heard.input;
  if (auto* due = std::get_if<release::ReportTimerExpired>(&input)) due->waits = slot_->waits_for();
  handle_mover_effects(now, mover_->handle(now, input), out);
}

void Fleet::on(Time now, const CoordinatorInput& heard, Effects& out) {
  if (coordinator_) handle_coordinator_effects(now, coordinator_->handle(now, heard.input), out);
}

// --- The cap on endpoints out
void Fleet::handle_arbiter_effects(Time now, std::vector<ejection::ArbiterEffect> effects, Effects& out) {
  for (ejection::ArbiterEffect& effect : effects) {
    // Guards against a verdict on behalf of a role whose lease has run out unheard.
    if (std::holds_alternative<ejection::WriteVerdict>(effect) && !leases_[*ejection_role_].may_act(now)) {
      arbiter_->handle(now, ejection::VerdictWritten{lease::WriteResult::unknown});
      continue;
    }
    out.emplace_back(ArbiterEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const ReporterInput& heard, Effects& out) {
  if (!reporter_) return;
  for (ejection::ReporterEffect& effect : reporter_->handle(now, heard.input)) {
    counts_.reports += std::holds_alternative<ejection::WriteReport>(effect) ? 1 : 0;
    const auto* const cap = std::get_if<ejection::CapEndpoints>(&effect);
    counts_.capped += cap && cap->verdict ? 1 : 0;
    out.emplace_back(ReporterEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const ArbiterInput& heard, Effects& out) {
  if (!arbiter_) return;
  if (const auto* w = std::get_if<ejection::VerdictWritten>(&heard.input)) {
    counts_.verdicts += w->result == lease::WriteResult::accepted ? 1 : 0;
    counts_.verdicts_refused += w->result == lease::WriteResult::refused ? 1 : 0;
  }
  handle_arbiter_effects(now, arbiter_->handle(now, heard.input), out);
}

void Fleet::schedule_sweep(Time at, Effects& out) { out.emplace_back(SetSweepTimer{at}); }

const lease::Lease* Fleet::active_sweep_lease(Time now, Token token) const {
  if (!sweep_role_) return nullptr;
  const lease::Lease& lease = leases_[*sweep_role_];
  return lease.may_act(now) && lease.token() == token ? &lease : nullptr;
}

void Fleet::on(Time now, const AcquireRoles&, Effects& out) {
  for (std::uint32_t i = 0; i < leases_.size(); ++i) handle_lease_input(now, i, lease::AcquireRole{}, out);
}

void Fleet::on(Time now, const ResignRoles&, Effects& out) {
  for (std::uint32_t i = 0; i < leases_.size(); ++i) handle_lease_input(now, i, lease::ResignRole{}, out);
}

void Fleet::on(Time now, const LeaseInput& heard, Effects& out) {
  if (heard.role < leases_.size()) handle_lease_input(now, heard.role, heard.input, out);
}

void Fleet::on(Time now, const SweepTimerExpired&, Effects& out) {
  if (!sweep_role_) return;
  const lease::Lease& lease = leases_[*sweep_role_];
  // A lapse that a renew ends has Act come again, and the work with it.
  // One at a time: the answer to the one that is out takes the work up again.
  if (!lease.may_act(now) || sweep_call_in_flight_) return;
  sweep_call_in_flight_ = true;
  out.emplace_back(ReadRegistrations{*lease.token()});
}

void Fleet::on(Time now, const RegistrationsRead& read, Effects& out) {
  sweep_call_in_flight_ = false;
  const lease::Lease* const lease = active_sweep_lease(now, read.token);
  // Read on behalf of a role that is over; it may have been taken up anew since.
  if (!lease) return schedule_sweep(now, out);
  if (read.ok) {
    std::vector<Registration> stale = sweep_->find_stale(now, read.registrations);
    if (!stale.empty()) {
      removals_in_flight_ = stale.size();
      sweep_call_in_flight_ = true;
      out.emplace_back(RemoveRegistrations{lease->session(), read.token, std::move(stale)});
      return;
    }
  }
  schedule_sweep(now + sweep_->every(), out);
}

void Fleet::on(Time now, const RegistrationsRemoved& removed, Effects& out) {
  sweep_call_in_flight_ = false;
  if (removed.result == RegistrationsRemoved::Result::accepted) {
    counts_.swept += removals_in_flight_;
    out.emplace_back(SweepLogMessage{std::to_string(removals_in_flight_) +
                                     " stale registrations removed, token " + std::to_string(removed.token)});
  } else if (removed.result == RegistrationsRemoved::Result::refused) {
    ++counts_.sweeps_refused;
    out.emplace_back(
        SweepLogMessage{"the removal was refused, as the role or a registration has changed, token " +
                        std::to_string(removed.token)});
  }
  // There may be more than one transaction holds.
  const bool at_once =
      removed.result == RegistrationsRemoved::Result::accepted || !active_sweep_lease(now, removed.token);
  schedule_sweep(at_once ? now : now + sweep_->every(), out);
}

std::vector<Effect> Fleet::resume(Time now) {
  Effects out;
  for (std::uint32_t i = 0; i < leases_.size(); ++i) {
    if (leases_[i].call_in_flight()) {
      handle_lease_input(now, i, lease::CallFailed{}, out);
    } else if (const auto timer = leases_[i].timer()) {
      out.emplace_back(LeaseEffect{i, lease::SetTimer{*timer}});
    }
  }
  if (sweep_) schedule_sweep(now, out);
  if (refresh_role_) {
    const lease::Lease& lease = leases_[*refresh_role_];
    if (lease.may_act(now))
      handle_refresh_effects(now, refresh_->activate(now, *lease.token(), lease.session()), out);
  }
  if (drain_role_ && leases_[*drain_role_].may_act(now)) {
    const lease::Lease& lease = leases_[*drain_role_];
    handle_coordinator_effects(now, coordinator_->activate(now, *lease.token(), lease.session()), out);
  }
  if (ejection_role_ && leases_[*ejection_role_].may_act(now)) {
    const lease::Lease& lease = leases_[*ejection_role_];
    handle_arbiter_effects(now, arbiter_->activate(now, *lease.token(), lease.session()), out);
  }
  if (slot_) handle_slot_effects(now, slot_->resume(now), out);
  return out;
}

}  // namespace fennellane::fleet
