#include "loop_lag_monitor.hpp"

#include <algorithm>
#include <utility>

namespace fennellane {

LoopLagMonitor::LoopLagMonitor(asio::io_context& io, Time look, Time beat, OnReport on_beat)
    : timer_(io), check_interval_(look), report_interval_(beat), on_report_(std::move(on_beat)) {}

void LoopLagMonitor::start() {
  timer_.expires_after(check_interval_);
  await_check();
}

void LoopLagMonitor::await_check() {
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    const auto now = std::chrono::steady_clock::now();
    const Time late = std::chrono::duration_cast<Time>(now - timer_.expiry());
    max_lag_ = std::max(max_lag_, late);
    since_report_ += check_interval_ + late;
    if (since_report_ >= report_interval_) {
      since_report_ = Time(0);
      on_report_(std::exchange(max_lag_, Time(0)));
    }
    timer_.expires_at(now + check_interval_);
    await_check();
  });
}

}  // namespace fennellane
