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
    if (const auto* message = std::get_if<lease::LogMessage>(&effect)) {
      counts_.acquired += message->event == lease::LogEvent::acquired ? 1 : 0;
      counts_.renews_missed += message->event == lease::LogEvent::renew_missed ? 1 : 0;
      counts_.lapsed += message->event == lease::LogEvent::lapsed ? 1 : 0;
      counts_.lost += message->event == lease::LogEvent::lost ? 1 : 0;
      counts_.given_up += message->event == lease::LogEvent::resigned ? 1 : 0;
    }
    const auto* const active = std::get_if<lease::LeaseActive>(&effect);
    if (role == sweep_role_ && active) {
      sweep_->reset();
      schedule_sweep(now, out);
    }
    Refresh::Effects refresh_effects;
    if (role == refresh_role_ && active)
      refresh_effects = refresh_->activate(now, active->token, leases_[role].session());
    else if (role == refresh_role_ && std::holds_alternative<lease::LeaseInactive>(effect))
      refresh_effects = refresh_->deactivate(now);
    std::vector<release::CoordinatorEffect> coordinator_effects;
    if (role == drain_role_ && active)
      coordinator_effects = coordinator_->activate(now, active->token, leases_[role].session());
    if (role == drain_role_ && std::holds_alternative<lease::LeaseInactive>(effect))
      coordinator_->deactivate();
    std::vector<ejection::ArbiterEffect> arbiter_effects;
    if (role == ejection_role_ && active)
      arbiter_effects = arbiter_->activate(now, active->token, leases_[role].session());
    if (role == ejection_role_ && std::holds_alternative<lease::LeaseInactive>(effect))
      arbiter_->deactivate();
    out.emplace_back(LeaseEffect{role, std::move(effect)});
    handle_refresh_effects(now, std::move(refresh_effects), out);
    handle_coordinator_effects(now, std::move(coordinator_effects), out);
    handle_arbiter_effects(now, std::move(arbiter_effects), out);
  }
}

void Fleet::handle_refresh_effects(Time now, Refresh::Effects effects, Effects& out) {
  for (RefreshEffect& effect : effects) {
    if (std::holds_alternative<StepDown>(effect)) {
      // Requested again at once, but behind the relays that already wait for it.
      handle_lease_input(now, *refresh_role_, lease::ResignRole{}, out);
      handle_lease_input(now, *refresh_role_, lease::AcquireRole{}, out);
      continue;
    }
    // The lease may have expired without an input that says so: nothing is published then.
    if (const auto* publish = std::get_if<Publish>(&effect);
        publish && !leases_[*refresh_role_].may_act(now)) {
      refresh_->handle(now, Published{publish->head.token, Published::Result::unknown});
      continue;
    }
    counts_.lists_followed += std::holds_alternative<ApplyList>(effect) ? 1 : 0;
    out.emplace_back(RefreshRoleEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const RefreshRoleInput& event, Effects& out) {
  if (!refresh_) return;
  if (const auto* published = std::get_if<Published>(&event.input)) {
    counts_.lists_shared += published->result == Published::Result::accepted ? 1 : 0;
    counts_.shares_refused += published->result == Published::Result::refused ? 1 : 0;
  }
  handle_refresh_effects(now, refresh_->handle(now, event.input), out);
}

// --- Drains and releases
void Fleet::handle_slot_effects(Time now, std::vector<drain::Effect> effects, Effects& out) {
  for (drain::Effect& effect : effects) {
    const auto* const go_offline = std::get_if<drain::GoOffline>(&effect);
    if (go_offline && go_offline->purpose == drain::Purpose::release && mover_) {
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
      // If a stop has replaced the release as the slot's purpose, the slot is not given back.
      const bool for_release = slot_->purpose() == drain::Purpose::release;
      handle_slot_effects(now,
                          slot_->handle(now, for_release ? drain::Input(drain::OutageEnded{})
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
    // The lease may have expired without an input that says so: no state is written then.
    if (std::holds_alternative<release::WriteState>(effect) && !leases_[*drain_role_].may_act(now)) {
      coordinator_->handle(now, release::StateWritten{release::StateWritten::Result::unknown});
      continue;
    }
    out.emplace_back(CoordinatorEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const DrainInput& event, Effects& out) {
  if (slot_) handle_slot_effects(now, slot_->handle(now, event.input), out);
}

void Fleet::on(Time now, const ReleaseStateInput& event, Effects& out) {
  if (mover_) handle_mover_effects(now, mover_->handle(now, event.input), out);
  if (coordinator_) handle_coordinator_effects(now, coordinator_->handle(now, event.input), out);
}

void Fleet::on(Time now, const MoverInput& event, Effects& out) {
  if (!mover_) return;
  release::MoverInput input = event.input;
  if (auto* report_due = std::get_if<release::ReportTimerExpired>(&input))
    report_due->waits = slot_->waits_for();
  handle_mover_effects(now, mover_->handle(now, input), out);
}

void Fleet::on(Time now, const CoordinatorInput& event, Effects& out) {
  if (coordinator_) handle_coordinator_effects(now, coordinator_->handle(now, event.input), out);
}

// --- Ejection cap
void Fleet::handle_arbiter_effects(Time now, std::vector<ejection::ArbiterEffect> effects, Effects& out) {
  for (ejection::ArbiterEffect& effect : effects) {
    // The lease may have expired without an input that says so: no verdict is written then.
    if (std::holds_alternative<ejection::WriteVerdict>(effect) && !leases_[*ejection_role_].may_act(now)) {
      arbiter_->handle(now, ejection::VerdictWritten{lease::WriteResult::unknown});
      continue;
    }
    out.emplace_back(ArbiterEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const ReporterInput& event, Effects& out) {
  if (!reporter_) return;
  for (ejection::ReporterEffect& effect : reporter_->handle(now, event.input)) {
    counts_.reports += std::holds_alternative<ejection::WriteReport>(effect) ? 1 : 0;
    const auto* const cap = std::get_if<ejection::CapEndpoints>(&effect);
    counts_.capped += cap && cap->verdict ? 1 : 0;
    out.emplace_back(ReporterEffect{std::move(effect)});
  }
}

void Fleet::on(Time now, const ArbiterInput& event, Effects& out) {
  if (!arbiter_) return;
  if (const auto* written = std::get_if<ejection::VerdictWritten>(&event.input)) {
    counts_.verdicts += written->result == lease::WriteResult::accepted ? 1 : 0;
    counts_.verdicts_refused += written->result == lease::WriteResult::refused ? 1 : 0;
  }
  handle_arbiter_effects(now, arbiter_->handle(now, event.input), out);
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

void Fleet::on(Time now, const LeaseInput& event, Effects& out) {
  if (event.role < leases_.size()) handle_lease_input(now, event.role, event.input, out);
}

void Fleet::on(Time now, const SweepTimerExpired&, Effects& out) {
  if (!sweep_role_) return;
  const lease::Lease& lease = leases_[*sweep_role_];
  // If a renewal ends a lapse, the lease becomes active again and schedules the sweep.
  // One call at a time: the answer to the call in flight schedules the next one.
  if (!lease.may_act(now) || sweep_call_in_flight_) return;
  sweep_call_in_flight_ = true;
  out.emplace_back(ReadRegistrations{*lease.token()});
}

void Fleet::on(Time now, const RegistrationsRead& read, Effects& out) {
  sweep_call_in_flight_ = false;
  const lease::Lease* const lease = active_sweep_lease(now, read.token);
  // The read was made under a lease that has ended; the role may have been acquired again since.
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
        SweepLogMessage{"the removal was refused: the role or a registration has changed, token " +
                        std::to_string(removed.token)});
  }
  // There may be more stale registrations than fit in one transaction.
  const bool immediately =
      removed.result == RegistrationsRemoved::Result::accepted || !active_sweep_lease(now, removed.token);
  schedule_sweep(immediately ? now : now + sweep_->every(), out);
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
