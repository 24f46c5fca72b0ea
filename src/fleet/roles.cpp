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

std::vector<std::string> Fleet::parts() const {
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

void Fleet::tell(Time now, std::uint32_t role, const lease::Input& input, Effects& out) {
  for (lease::Effect& effect : leases_[role].handle(now, input)) {
    if (const auto* say = std::get_if<lease::Say>(&effect)) {
      counts_.acquired += say->event == lease::Event::acquired ? 1 : 0;
      counts_.renews_missed += say->event == lease::Event::renew_missed ? 1 : 0;
      counts_.lapsed += say->event == lease::Event::lapsed ? 1 : 0;
      counts_.lost += say->event == lease::Event::lost ? 1 : 0;
      counts_.given_up += say->event == lease::Event::given_up ? 1 : 0;
    }
    const auto* const act = std::get_if<lease::Act>(&effect);
    if (role == sweep_role_ && act) {
      sweep_->begin();
      work_later(now, out);
    }
    Refresh::Effects of_refresh;
    if (role == refresh_role_ && act)
      of_refresh = refresh_->acts(now, act->token, leases_[role].session());
    else if (role == refresh_role_ && std::holds_alternative<lease::Stop>(effect))
      of_refresh = refresh_->stops(now);
    std::vector<release::CoordinatorEffect> of_drain;
    if (role == drain_role_ && act) of_drain = coordinator_->acts(now, act->token, leases_[role].session());
    if (role == drain_role_ && std::holds_alternative<lease::Stop>(effect)) coordinator_->stops();
    std::vector<ejection::ArbiterEffect> of_ejection;
    if (role == ejection_role_ && act) of_ejection = arbiter_->acts(now, act->token, leases_[role].session());
    if (role == ejection_role_ && std::holds_alternative<lease::Stop>(effect)) arbiter_->stops();
    out.emplace_back(LeaseDo{role, std::move(effect)});
    refresh(now, std::move(of_refresh), out);
    coordinator(now, std::move(of_drain), out);
    arbiter(now, std::move(of_ejection), out);
  }
}

void Fleet::refresh(Time now, Refresh::Effects effects, Effects& out) {
  for (RefreshEffect& effect : effects) {
    if (std::holds_alternative<StepDown>(effect)) {
      // Sought again at once, but behind those that wait for it.
      tell(now, *refresh_role_, lease::Unwant{}, out);
      tell(now, *refresh_role_, lease::Want{}, out);
      continue;
    }
    // Guards against a list shared on behalf of a role whose lease has run out unheard.
    if (const auto* p = std::get_if<Publish>(&effect); p && !leases_[*refresh_role_].may_act(now)) {
      refresh_->handle(now, Published{p->head.token, Published::How::failed});
      continue;
    }
    counts_.lists_followed += std::holds_alternative<TakeList>(effect) ? 1 : 0;
    out.emplace_back(RefreshDo{std::move(effect)});
  }
}

void Fleet::on(Time now, const RefreshHeard& heard, Effects& out) {
  if (!refresh_) return;
  if (const auto* p = std::get_if<Published>(&heard.input)) {
    counts_.lists_shared += p->how == Published::How::taken ? 1 : 0;
    counts_.shares_refused += p->how == Published::How::refused ? 1 : 0;
  }
  refresh(now, refresh_->handle(now, heard.input), out);
}

// --- Drains and releases
void Fleet::slot(Time now, std::vector<drain::Effect> effects, Effects& out) {
  for (drain::Effect& effect : effects) {
    const auto* const go = std::get_if<drain::GoOut>(&effect);
    if (go && go->purpose == drain::Purpose::release && mover_) {
      mover(now, mover_->handle(now, release::SlotGranted{}), out);
    } else {
      out.emplace_back(DrainDo{std::move(effect)});
    }
  }
}

void Fleet::mover(Time now, std::vector<release::MoverEffect> effects, Effects& out) {
  for (release::MoverEffect& effect : effects) {
    if (std::holds_alternative<release::AskSlot>(effect)) {
      slot(now, slot_->handle(now, drain::Ask{drain::Purpose::release}), out);
    } else if (std::holds_alternative<release::LeaveSlot>(effect)) {
      // Guards a stop that has taken its place.
      const bool ours = slot_->purpose() == drain::Purpose::release;
      slot(now,
           slot_->handle(now, ours ? drain::Input(drain::Back{}) : drain::Cancel{drain::Purpose::release}),
           out);
    } else {
      out.emplace_back(MoverDo{std::move(effect)});
    }
  }
}

void Fleet::coordinator(Time now, std::vector<release::CoordinatorEffect> effects, Effects& out) {
  for (release::CoordinatorEffect& effect : effects) {
    // Guards against a step on behalf of a role whose lease has run out unheard.
    if (std::holds_alternative<release::WriteState>(effect) && !leases_[*drain_role_].may_act(now)) {
      coordinator_->handle(now, release::StateWritten{release::StateWritten::How::failed});
      continue;
    }
    out.emplace_back(CoordinatorDo{std::move(effect)});
  }
}

void Fleet::on(Time now, const DrainHeard& heard, Effects& out) {
  if (slot_) slot(now, slot_->handle(now, heard.input), out);
}

void Fleet::on(Time now, const ReleaseSeen& seen, Effects& out) {
  if (mover_) mover(now, mover_->handle(now, seen.seen), out);
  if (coordinator_) coordinator(now, coordinator_->handle(now, seen.seen), out);
}

void Fleet::on(Time now, const MoverHeard& heard, Effects& out) {
  if (!mover_) return;
  release::MoverInput input = heard.input;
  if (auto* due = std::get_if<release::ReportDue>(&input)) due->waits = slot_->waits_for();
  mover(now, mover_->handle(now, input), out);
}

void Fleet::on(Time now, const CoordinatorHeard& heard, Effects& out) {
  if (coordinator_) coordinator(now, coordinator_->handle(now, heard.input), out);
}

// --- The cap on endpoints out
void Fleet::arbiter(Time now, std::vector<ejection::ArbiterEffect> effects, Effects& out) {
  for (ejection::ArbiterEffect& effect : effects) {
    // Guards against a verdict on behalf of a role whose lease has run out unheard.
    if (std::holds_alternative<ejection::WriteVerdict>(effect) && !leases_[*ejection_role_].may_act(now)) {
      arbiter_->handle(now, ejection::VerdictWritten{lease::Written::failed});
      continue;
    }
    out.emplace_back(ArbiterDo{std::move(effect)});
  }
}

void Fleet::on(Time now, const ReporterHeard& heard, Effects& out) {
  if (!reporter_) return;
  for (ejection::ReporterEffect& effect : reporter_->handle(now, heard.input)) {
    counts_.reports += std::holds_alternative<ejection::WriteReport>(effect) ? 1 : 0;
    const auto* const cap = std::get_if<ejection::CapEndpoints>(&effect);
    counts_.capped += cap && cap->verdict ? 1 : 0;
    out.emplace_back(ReporterDo{std::move(effect)});
  }
}

void Fleet::on(Time now, const ArbiterHeard& heard, Effects& out) {
  if (!arbiter_) return;
  if (const auto* w = std::get_if<ejection::VerdictWritten>(&heard.input)) {
    counts_.verdicts += w->how == lease::Written::taken ? 1 : 0;
    counts_.verdicts_refused += w->how == lease::Written::refused ? 1 : 0;
  }
  arbiter(now, arbiter_->handle(now, heard.input), out);
}

void Fleet::work_later(Time at, Effects& out) { out.emplace_back(SetWorkTimer{at}); }

const lease::Lease* Fleet::sweeping(Time now, Token token) const {
  if (!sweep_role_) return nullptr;
  const lease::Lease& lease = leases_[*sweep_role_];
  return lease.may_act(now) && lease.token() == token ? &lease : nullptr;
}

void Fleet::on(Time now, const Seek&, Effects& out) {
  for (std::uint32_t i = 0; i < leases_.size(); ++i) tell(now, i, lease::Want{}, out);
}

void Fleet::on(Time now, const Resign&, Effects& out) {
  for (std::uint32_t i = 0; i < leases_.size(); ++i) tell(now, i, lease::Unwant{}, out);
}

void Fleet::on(Time now, const LeaseHeard& heard, Effects& out) {
  if (heard.role < leases_.size()) tell(now, heard.role, heard.input, out);
}

void Fleet::on(Time now, const WorkDue&, Effects& out) {
  if (!sweep_role_) return;
  const lease::Lease& lease = leases_[*sweep_role_];
  // A lapse that a renew ends has Act come again, and the work with it.
  // One at a time: the answer to the one that is out takes the work up again.
  if (!lease.may_act(now) || working_) return;
  working_ = true;
  out.emplace_back(ReadRegistrations{*lease.token()});
}

void Fleet::on(Time now, const RegistrationsRead& read, Effects& out) {
  working_ = false;
  const lease::Lease* const lease = sweeping(now, read.token);
  // Read on behalf of a role that is over; it may have been taken up anew since.
  if (!lease) return work_later(now, out);
  if (read.good) {
    std::vector<Registration> stale = sweep_->look(now, read.all);
    if (!stale.empty()) {
      removing_ = stale.size();
      working_ = true;
      out.emplace_back(RemoveRegistrations{lease->session(), read.token, std::move(stale)});
      return;
    }
  }
  work_later(now + sweep_->every(), out);
}

void Fleet::on(Time now, const RegistrationsRemoved& removed, Effects& out) {
  working_ = false;
  if (removed.how == RegistrationsRemoved::How::taken) {
    counts_.swept += removing_;
    out.emplace_back(Swept{std::to_string(removing_) + " stale registrations removed, token " +
                           std::to_string(removed.token)});
  } else if (removed.how == RegistrationsRemoved::How::refused) {
    ++counts_.sweeps_refused;
    out.emplace_back(Swept{"the removal was refused, as the role or a registration has changed, token " +
                           std::to_string(removed.token)});
  }
  // There may be more than one transaction holds.
  const bool at_once = removed.how == RegistrationsRemoved::How::taken || !sweeping(now, removed.token);
  work_later(at_once ? now : now + sweep_->every(), out);
}

std::vector<Effect> Fleet::resume(Time now) {
  Effects out;
  for (std::uint32_t i = 0; i < leases_.size(); ++i) {
    if (leases_[i].call_out()) {
      tell(now, i, lease::CallFailed{}, out);
    } else if (const auto timer = leases_[i].timer()) {
      out.emplace_back(LeaseDo{i, lease::SetTimer{*timer}});
    }
  }
  if (sweep_) work_later(now, out);
  if (refresh_role_) {
    const lease::Lease& lease = leases_[*refresh_role_];
    if (lease.may_act(now)) refresh(now, refresh_->acts(now, *lease.token(), lease.session()), out);
  }
  if (drain_role_ && leases_[*drain_role_].may_act(now)) {
    const lease::Lease& lease = leases_[*drain_role_];
    coordinator(now, coordinator_->acts(now, *lease.token(), lease.session()), out);
  }
  if (ejection_role_ && leases_[*ejection_role_].may_act(now)) {
    const lease::Lease& lease = leases_[*ejection_role_];
    arbiter(now, arbiter_->acts(now, *lease.token(), lease.session()), out);
  }
  if (slot_) slot(now, slot_->resume(now), out);
  return out;
}

}  // namespace fennellane::fleet
