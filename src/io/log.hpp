// Lines on standard error, so many at most: what the network brings must not fill a disk. Written with
// spdlog, in one of three forms that have the same fields: time, level, relay, part, msg (plain leaves out
// time and level).
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
  // Always written, and flushed.
  void report(const std::string& text);

 private:
  void write(std::string_view part, const std::string& text);

  const LogForm form_;
  std::size_t left_;
  const std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace fennellane
