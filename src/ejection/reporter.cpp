#include "reporter.hpp"

#include <algorithm>

namespace fennellane::ejection {

std::vector<ReporterEffect> Reporter::handle(Time now, const ReporterInput& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  return out;
}

void Reporter::on(Time now, const CheckTimerExpired& look, Effects& out) {
  std::vector<DegradedEndpoint> ailing = look.view.degraded_endpoints;
  if (ailing.size() > settings_.max_endpoints) {
    std::nth_element(ailing.begin(), ailing.begin() + static_cast<std::ptrdiff_t>(settings_.max_endpoints),
                     ailing.end(), [](const DegradedEndpoint& a, const DegradedEndpoint& b) {
                       return std::pair(a.kind, -a.failure_share) < std::pair(b.kind, -b.failure_share);
                     });
    ailing.resize(settings_.max_endpoints);
  }
  // How bad it is moves with each call; only what is out, and how, is worth a write.
  const bool changed = !std::equal(ailing.begin(), ailing.end(), reported_.begin(), reported_.end(),
                                   [](const DegradedEndpoint& a, const DegradedEndpoint& b) {
                                     return a.host == b.host && a.kind == b.kind && a.exempt == b.exempt;
                                   });
  if (!reported_at_ || changed || now - *reported_at_ >= renew_every(settings_.stale)) {
    reported_at_ = now;
    reported_ = ailing;
    out.emplace_back(WriteReport{{settings_.relay, ++heartbeat_, std::move(ailing)}});
  }
  if (cap_ && now - renewed_at_ >= settings_.stale) lift("no verdict is heard any more", out);
  out.emplace_back(SetCheckTimer{now + settings_.every});
}

void Reporter::on(Time now, const VerdictSeen& seen, Effects& out) {
  if (seen.index_reset) {
    top_ = 0;
    newest_.reset();
  }
  if (!seen.verdict) {
    newest_.reset();
    return lift("there is no verdict", out);
  }
  const Verdict& v = *seen.verdict;
  // Guards against an old arbiter's word that comes late: its token is lower.
  if (v.token < top_) return;
  top_ = v.token;
  const bool renewed = newest_ && (newest_->token != v.token || newest_->heartbeat != v.heartbeat);
  newest_ = v;
  // Guards against heeding what an arbiter that is long gone has left: only one that is renewed is fresh.
  if (!renewed) return;
  renewed_at_ = now;
  if (!v.binds()) return lift("room again", out);
  if (cap_ && cap_->agrees_with(v)) return;
  cap_ = v;
  out.emplace_back(CapEndpoints{cap_});
  std::string names;
  for (const std::string& host : v.out) names += (names.empty() ? "" : ", ") + host;
  out.emplace_back(ReporterLogMessage{
      "the fleet's cap on endpoints out is reached: " + std::to_string(v.failing) + " fail, " +
      std::to_string(v.reduced) + " are cold or lowered, " + std::to_string(v.drained) + " drain, of " +
      std::to_string(v.listed) + "; may rest: " + (names.empty() ? "none" : names) + ", token " +
      std::to_string(v.token)});
}

void Reporter::lift(const std::string& why, Effects& out) {
  if (!cap_) return;
  cap_.reset();
  out.emplace_back(CapEndpoints{});
  out.emplace_back(ReporterLogMessage{"the cap on endpoints out is lifted: " + why});
}

}  // namespace fennellane::ejection
