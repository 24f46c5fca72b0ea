#include "roles.hpp"

#include <algorithm>

namespace fennellane::fleet {

Fleet::Fleet(const Plan& plan) : roles_(plan.roles) {
  for (std::uint32_t i = 0; i < roles_.size(); ++i) {
    leases_.emplace_back(plan.timing, plan.seed + i * 1'000'003);
    if (roles_[i] != kSweepRole || !plan.sweep) continue;
    sweep_role_ = i;
    sweep_.emplace(*plan.sweep);
  }
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
    if (role == sweep_role_ && std::holds_alternative<lease::Act>(effect)) {
      sweep_->begin();
      work_later(now, out);
    }
    out.emplace_back(LeaseDo{role, std::move(effect)});
  }
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
  if (lease.may_act(now)) out.emplace_back(ReadRegistrations{*lease.token()});
}

void Fleet::on(Time now, const RegistrationsRead& read, Effects& out) {
  const lease::Lease* const lease = sweeping(now, read.token);
  if (!lease) return;  // read on behalf of a role that is over
  if (read.good) {
    std::vector<Registration> stale = sweep_->look(now, read.all);
    if (!stale.empty()) {
      removing_ = stale.size();
      out.emplace_back(RemoveRegistrations{lease->session(), read.token, std::move(stale)});
      return;
    }
  }
  work_later(now + sweep_->every(), out);
}

void Fleet::on(Time now, const RegistrationsRemoved& removed, Effects& out) {
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
  if (sweeping(now, removed.token))
    work_later(removed.how == RegistrationsRemoved::How::taken ? now : now + sweep_->every(), out);
}

std::vector<Effect> Fleet::resume(Time now) {
  Effects out;
  for (std::uint32_t i = 0; i < leases_.size(); ++i) {
    if (leases_[i].call_out()) {
      tell(now, i, lease::CallFailed{}, out);
    } else if (const auto timer = leases_[i].timer()) {
      LeaseDo& again = std::get<LeaseDo>(out.emplace_back(LeaseDo{}));
      again.role = i;
      again.effect = lease::SetTimer{*timer};
    }
  }
  if (sweep_) work_later(now, out);
  return out;
}

}  // namespace fennellane::fleet
