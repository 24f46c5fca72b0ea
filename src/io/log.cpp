#include "log.hpp"

#include <fcntl.h>
#include <json/json.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <utility>

namespace fennellane {
namespace {

// The relay's name and the fields after the level are part of the message, which quotes them as the form
// requires.
const char* pattern_for(LogFormat form) {
  switch (form) {
    case LogFormat::logfmt:
      return "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
    case LogFormat::json:
      return R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";
    default:
      return "%v";
  }
}

// Whether writing a line could block because standard error is a pipe that is not being read. A pipe filled
// to at most a quarter of its capacity has room for a line, however its pages are filled.
bool is_blocked_pipe(int descriptor) {
  constexpr int kMaxFillDivisor = 4;
  const int capacity = ::fcntl(descriptor, F_GETPIPE_SZ);
  int pending_bytes = 0;
  return capacity > 0 && ::ioctl(descriptor, FIONREAD, &pending_bytes) == 0 &&
         pending_bytes > capacity / kMaxFillDivisor;
}

// Bytes of quoted text. Together with the other fields this is less than a pipe takes in one atomic write.
constexpr std::size_t kMaxTextBytes = 3600;

std::string quoted(std::string_view text) { return Json::valueToQuotedString(std::string(text).c_str()); }

// Replaces line breaks, so that text from a peer cannot forge a log line.
std::string to_single_line(std::string text) {
  for (char& c : text) {
    if (c == '\n' || c == '\r') c = ' ';
  }
  return text;
}

// Truncates the text so that the line fits in any form.
std::string truncate_to_fit(std::string text) {
  if (text.size() > kMaxTextBytes) text.resize(kMaxTextBytes);
  while (quoted(text).size() > kMaxTextBytes) text.resize(text.size() - text.size() / 8);
  return text;
}

}  // namespace

Log::Log(const std::string& name, const LogSettings& settings)
    : form_(settings.format),
      lines_left_(settings.max_lines),
      logger_(std::make_unique<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  logger_->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern_for(form_), spdlog::pattern_time_type::utc));
  logger_->set_error_handler([](const std::string&) {});  // a failing log must not terminate the relay
  logger_->flush_on(spdlog::level::info);
}

Log::~Log() = default;

void Log::write(std::string_view part, const std::string& text) {
  if (is_blocked_pipe(STDERR_FILENO)) {
    ++dropped_lines_;
    return;
  }
  std::string line_text = truncate_to_fit(text);
  if (dropped_lines_ > 0)
    line_text += " (" + std::to_string(std::exchange(dropped_lines_, 0)) + " lines dropped)";
  logger_->log(spdlog::level::info, format_payload(part, line_text));
}

std::string Log::format_payload(std::string_view part, const std::string& text) const {
  const std::string& name = logger_->name();
  const std::string_view component = part.empty() ? "relay" : part;
  switch (form_) {
    case LogFormat::logfmt:
      return "relay=" + quoted(name) + " part=" + quoted(component) + " msg=" + quoted(text);
    case LogFormat::json:
      return "\"relay\":" + quoted(name) + ",\"part\":" + quoted(component) + ",\"msg\":" + quoted(text);
    default:
      return to_single_line(name + ": " + std::string(part) + (part.empty() ? "" : ": ") + text);
  }
}

void Log::operator()(std::string_view part, const std::string& text) {
  if (lines_left_ == 0) return;
  write(part, text);
  if (--lines_left_ == 0) write("log", "line limit reached, no further lines are logged");
}

void Log::report(const std::string& text) { write("", text); }

}  // namespace fennellane
