// Lines on standard error, so many at most: what the network brings must not fill a disk. A line that would
// block, on a pipe that nobody reads, is left out, and one that is longer than a pipe takes in one piece is
// cut. Written with spdlog, in one of three forms that have the same fields: time, level, relay, part, msg
// (plain leaves out time and level).
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

  // `part` says who speaks ("journal", "consul"); an empty one, the relay itself.
  void operator()(std::string_view part, const std::string& text);
  // Always written, and flushed, but where standard error is a pipe that nobody reads.
  void report(const std::string& text);

 private:
  void write(std::string_view part, const std::string& text);
  // All of a line but what its pattern adds.
  std::string format_payload(std::string_view part, const std::string& text) const;

  const LogFormat form_;
  std::size_t lines_left_;
  std::size_t dropped_lines_ = 0;  // lines, since standard error is a pipe that nobody reads
  const std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace fennellane
