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

std::vector<ArbiterEffect> Arbiter::acts(Time now, Token token, const std::string& session) {
  Effects out;
  token_ = token;
  session_ = session;
  // What another has seen was on another clock: each report counts as fresh until it is seen to be old.
  heard_.clear();
  reading_ = writing_ = false;
  written_.reset();
  on(now, ReadDue{}, out);
  return out;
}

void Arbiter::on(Time now, const ReadDue&, Effects& out) {
  if (!token_) return;
  out.emplace_back(SetReadTimer{now + settings_.every});
  if (std::exchange(reading_, true)) return;
  out.emplace_back(ReadReports{});
}

void Arbiter::on(Time now, const ReportsRead& read, Effects& out) {
  reading_ = false;
  if (!token_ || !read.good || writing_) return;
  std::map<std::string, Heard> heard;
  std::vector<Report> fresh;
  std::vector<std::pair<std::string, std::uint64_t>> forget;
  for (const Read& r : read.reports) {
    const auto known = heard_.find(r.report.relay);
    const bool grown = known == heard_.end() || r.report.beat != known->second.beat;
    const Heard& h = heard[r.report.relay] = {r.report.beat, grown ? now : known->second.at};
    if (now - h.at < settings_.stale) fresh.push_back(r.report);
    if (now - h.at >= settings_.stale * kForgotten && forget.size() < settings_.most_forgotten)
      forget.emplace_back(r.report.relay, r.index);
  }
  heard_ = std::move(heard);

  Verdict verdict =
      weigh(settings_.cap, read.listed, fresh, written_ ? written_->out : std::vector<std::string>());
  const bool changed = !written_ || !verdict.agrees_with(*written_);
  const bool due = verdict.binds() && now - written_at_ >= renew_every(settings_.stale);
  if (!changed && !due && forget.empty()) return;
  verdict.token = *token_;
  verdict.beat = ++beat_;
  writing_ = true;
  written_at_ = now;
  asked_ = verdict;
  out.emplace_back(WriteVerdict{session_, std::move(verdict), std::move(forget)});
}

void Arbiter::on(Time, const VerdictWritten& written, Effects& out) {
  writing_ = false;
  if (written.how == lease::Written::taken) written_ = std::exchange(asked_, std::nullopt);
  // Not known to be there: written again with the next read.
  if (written.how == lease::Written::failed) written_.reset();
  if (written.how == lease::Written::refused) {
    written_.reset();
    out.emplace_back(ArbiterSaid{"a verdict was refused, as the role or a report has changed"});
  }
}

}  // namespace fennellane::ejection
