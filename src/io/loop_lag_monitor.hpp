// Measures how late the event loop runs, with a periodic timer.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "limits.hpp"

namespace fennellane {

class LoopLagMonitor {
 public:
  // `on_report` is called every `report_interval` with the longest delay since the previous call.
  using OnReport = std::function<void(Time max_lag)>;
  LoopLagMonitor(asio::io_context& io, Time check_interval, Time report_interval, OnReport on_report);
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
