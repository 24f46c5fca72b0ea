// Lines on standard error, so many at most: what the network brings must not fill a disk.
#pragma once

#include <cstddef>
#include <cstdio>
#include <string>

namespace fennellane {

class Log {
 public:
  explicit Log(std::string name, std::size_t most_lines = 5000) : name_(std::move(name)), left_(most_lines) {}
  void operator()(const std::string& text) {
    if (left_ == 0) return;
    --left_;
    std::fprintf(stderr, "%s: %s\n", name_.c_str(), text.c_str());
    if (left_ == 0) std::fprintf(stderr, "%s: no more lines are logged\n", name_.c_str());
  }
  // Always printed.
  void report(const std::string& text) const {
    std::fprintf(stderr, "%s: %s\n", name_.c_str(), text.c_str());
    std::fflush(stderr);
  }

 private:
  std::string name_;
  std::size_t left_;
};

}  // namespace fennellane
