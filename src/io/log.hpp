// Writes a limited number of lines to standard error, so that input from the network cannot fill a disk. A
// line that would block, because standard error is a pipe that is not being read, is dropped; one longer than
// a pipe takes in one atomic write is truncated. Uses spdlog, in one of three forms with the same fields:
// time, level, relay, part, msg (plain omits time and level).
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "log_settings.hpp"

namespace spdlog {
class logger;
}

namespace fennellane {

class Log {
 public:
  explicit Log(const std::string& name, const LogSettings& settings = {});
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // `part` names the component ("journal", "consul"); empty for the relay itself.
  void operator()(std::string_view part, const std::string& text);
  // Not subject to the line limit, and flushed. Dropped only if standard error is a pipe that is not being
  // read.
  void report(const std::string& text);

 private:
  void write(std::string_view part, const std::string& text);
  // Everything of a line except what the pattern adds.
  std::string format_payload(std::string_view part, const std::string& text) const;

  const LogFormat form_;
  std::size_t lines_left_;
  std::size_t dropped_lines_ = 0;  // lines, while standard error is a pipe that is not being read
  const std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace fennellane
