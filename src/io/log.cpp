#include "log.hpp"

#include <json/json.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace fennellane {
namespace {

// The relay's name and the payload, which are quoted where the form needs it, stand in the message itself.
const char* pattern(LogForm form) {
  switch (form) {
    case LogForm::logfmt:
      return "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
    case LogForm::json:
      return R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";
    default:
      return "%v";
  }
}

}  // namespace

Log::Log(const std::string& name, const LogSettings& settings)
    : form_(settings.form),
      left_(settings.most_lines),
      logger_(std::make_unique<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  logger_->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern(form_), spdlog::pattern_time_type::utc));
  logger_->set_error_handler([](const std::string&) {});  // a log that nobody reads must not end the relay
  logger_->flush_on(spdlog::level::info);
}

Log::~Log() = default;

void Log::write(std::string_view part, const std::string& text) {
  const std::string& name = logger_->name();
  const auto quoted = [](std::string_view s) { return Json::valueToQuotedString(std::string(s).c_str()); };
  std::string line;
  if (form_ == LogForm::logfmt) {
    line =
        "relay=" + quoted(name) + " part=" + quoted(part.empty() ? "relay" : part) + " msg=" + quoted(text);
  } else if (form_ == LogForm::json) {
    line = "\"relay\":" + quoted(name) + ",\"part\":" + quoted(part.empty() ? "relay" : part) +
           ",\"msg\":" + quoted(text);
  } else {
    line = name + ": " + std::string(part) + (part.empty() ? "" : ": ") + text;
    // Guards against a line that a peer's text breaks in two and so forges another.
    for (char& c : line) {
      if (c == '\n' || c == '\r') c = ' ';
    }
  }
  logger_->log(spdlog::level::info, line);
}

void Log::operator()(std::string_view part, const std::string& text) {
  if (left_ == 0) return;
  write(part, text);
  if (--left_ == 0) write("log", "no more lines are logged");
}

void Log::report(const std::string& text) { write("", text); }

}  // namespace fennellane
