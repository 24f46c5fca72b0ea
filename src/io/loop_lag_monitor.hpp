// How late the loop runs: a timer that looks at the clock now and then.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "limits.hpp"

namespace fennellane {

class LoopLagMonitor {
 public:
  // `on_beat` is called every `beat`, with the longest that the loop was late since the last call.
  using OnReport = std::function<void(Time latest)>;
  LoopLagMonitor(asio::io_context& io, Time look, Time beat, OnReport on_beat);
  void start();

 private:
  void await_check();

  asio::steady_timer timer_;
  const Time check_interval_;
  const Time report_interval_;
  const OnReport on_report_;
  Time max_lag_{};
  Time since_report_{};
};

}  // namespace fennellane
