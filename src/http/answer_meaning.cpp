#include "answer_meaning.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fennellane {

using starlinghook::Outcome;

AnswerMeaning interpret_answer(const HttpReader& answer) {
  AnswerMeaning meaning;
  constexpr std::uint64_t kMaxRetryAfterMs = 1000ull * 60 * 60 * 24;
  switch (answer.status()) {
    case 200:
      meaning.outcome = Outcome::delivered;
      break;
    case 500:
      meaning.outcome = Outcome::error;
      break;
    case 429:
      meaning.outcome = Outcome::full;
      if (const auto wait = answer.header("x-come-back-ms")) {
        // Rounds a fractional wait up to whole milliseconds, so that a value that is not an integer is not
        // lost.
        double ms = 0;
        const auto [end, error] = std::from_chars(wait->data(), wait->data() + wait->size(), ms);
        if (error == std::errc() && ms > 0) {
          meaning.retry_after = std::chrono::milliseconds(
              std::min(kMaxRetryAfterMs, static_cast<std::uint64_t>(std::ceil(std::min(ms, 1e12)))));
        }
      }
      break;
    case 503:
      meaning.no_slot = answer.header("x-line-busy") == "1";
      meaning.outcome = meaning.no_slot ? Outcome::not_sent : Outcome::full;
      break;
    case 504:
      meaning.outcome = Outcome::not_sent;
      break;
    case 410:
      meaning.outcome = Outcome::not_sent;
      meaning.ended_elsewhere = true;
      break;
    default:  // a status outside the protocol: the call may have run
      meaning.recognized = false;
  }
  return meaning;
}

namespace {
constexpr double kMaxReportedRate = 1e9;  // calls per second
}

starlinghook::LoadReport parse_load_report(std::string_view text, const wire::InstanceSettings& boot) {
  starlinghook::LoadReport report;
  if (!boot.settings.reports_allowance) return report;
  const std::string& allowance = boot.report_names[static_cast<std::size_t>(boot.allowance_field)];
  const std::string& limit = boot.report_names[static_cast<std::size_t>(boot.limit_field)];
  bool has_allowance = false, has_limit = false;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const std::string_view name = pair.substr(0, equals), number = pair.substr(equals + 1);
    if (name != allowance && name != limit) continue;
    double& field = name == allowance ? report.allowance_left : report.limit;
    bool& seen = name == allowance ? has_allowance : has_limit;
    const char* const last = number.data() + number.size();
    const auto [end, error] = std::from_chars(number.data(), last, field);
    // A report with any unreadable field counts as no report, so that half of one is never used.
    if (seen || error != std::errc() || end != last || !std::isfinite(field) || field < 0 ||
        field > kMaxReportedRate) {
      return {};
    }
    seen = true;
  }
  report.present = has_allowance && has_limit;
  return report;
}

}  // namespace fennellane
