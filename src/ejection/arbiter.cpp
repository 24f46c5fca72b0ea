#include "arbiter.hpp"

#include <algorithm>
#include <utility>

#include "reporter.hpp"

namespace fennellane::ejection {
namespace {

constexpr int kForgotten = 10;  // times `stale`: the relay is gone, and its report goes

}  // namespace

std::vector<ArbiterEffect> Arbiter::handle(Time now, const ArbiterInput& input) {
  Effects out;
  std::visit([&](const auto& i) { on(now, i, out); }, input);
  return out;
}

std::vector<ArbiterEffect> Arbiter::activate(Time now, Token token, const std::string& session) {
  Effects out;
  token_ = token;
  session_ = session;
  // What another has seen was on another clock: each report counts as fresh until it is seen to be old.
  received_.clear();
  reading_ = writing_ = false;
  written_.reset();
  on(now, ReadTimerExpired{}, out);
  return out;
}

void Arbiter::on(Time now, const ReadTimerExpired&, Effects& out) {
  if (!token_) return;
  out.emplace_back(SetReadTimer{now + settings_.every});
  if (std::exchange(reading_, true)) return;
  out.emplace_back(ReadReports{});
}

void Arbiter::on(Time now, const ReportsRead& read, Effects& out) {
  reading_ = false;
  if (!token_ || !read.ok || writing_) return;
  std::map<std::string, ReceivedReport> heard;
  std::vector<Report> fresh;
  std::vector<std::pair<std::string, std::uint64_t>> forget;
  for (const StoredReport& r : read.reports) {
    const auto known = received_.find(r.report.relay);
    const bool grown = known == received_.end() || r.report.heartbeat != known->second.heartbeat;
    const ReceivedReport& h = heard[r.report.relay] = {r.report.heartbeat, grown ? now : known->second.at};
    if (now - h.at < settings_.stale) fresh.push_back(r.report);
    if (now - h.at >= settings_.stale * kForgotten && forget.size() < settings_.max_removed_reports)
      forget.emplace_back(r.report.relay, r.index);
  }
  received_ = std::move(heard);

  Verdict verdict =
      weigh(settings_.cap, read.listed, fresh, written_ ? written_->out : std::vector<std::string>());
  const bool changed = !written_ || !verdict.agrees_with(*written_);
  const bool due = verdict.binds() && now - written_at_ >= renew_every(settings_.stale);
  if (!changed && !due && forget.empty()) return;
  verdict.token = *token_;
  verdict.heartbeat = ++heartbeat_;
  writing_ = true;
  written_at_ = now;
  asked_ = verdict;
  out.emplace_back(WriteVerdict{session_, std::move(verdict), std::move(forget)});
}

void Arbiter::on(Time, const VerdictWritten& written, Effects& out) {
  writing_ = false;
  if (written.result == lease::WriteResult::accepted) written_ = std::exchange(asked_, std::nullopt);
  // Not known to be there: written again with the next read.
  if (written.result == lease::WriteResult::unknown) written_.reset();
  if (written.result == lease::WriteResult::refused) {
    written_.reset();
    out.emplace_back(ArbiterLogMessage{"a verdict was refused, as the role or a report has changed"});
  }
}

}  // namespace fennellane::ejection
