#include "loop_lag_monitor.hpp"

#include <algorithm>
#include <utility>

namespace fennellane {

LoopLagMonitor::LoopLagMonitor(asio::io_context& io, Time check_interval, Time report_interval,
                               OnReport on_report)
    : timer_(io),
      check_interval_(check_interval),
      report_interval_(report_interval),
      on_report_(std::move(on_report)) {}

void LoopLagMonitor::start() {
  timer_.expires_after(check_interval_);
  await_check();
}

void LoopLagMonitor::await_check() {
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    const auto now = std::chrono::steady_clock::now();
    const Time lag = std::chrono::duration_cast<Time>(now - timer_.expiry());
    max_lag_ = std::max(max_lag_, lag);
    since_report_ += check_interval_ + lag;
    if (since_report_ >= report_interval_) {
      since_report_ = Time(0);
      on_report_(std::exchange(max_lag_, Time(0)));
    }
    timer_.expires_at(now + check_interval_);
    await_check();
  });
}

}  // namespace fennellane
