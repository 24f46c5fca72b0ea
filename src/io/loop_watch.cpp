#include "loop_watch.hpp"

#include <algorithm>
#include <utility>

namespace fennellane {

LoopWatch::LoopWatch(asio::io_context& io, Time look, Time beat, OnBeat on_beat)
    : timer_(io), look_(look), beat_(beat), on_beat_(std::move(on_beat)) {}

void LoopWatch::start() {
  timer_.expires_after(look_);
  wait();
}

void LoopWatch::wait() {
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    const auto now = std::chrono::steady_clock::now();
    const Time late = std::chrono::duration_cast<Time>(now - timer_.expiry());
    latest_ = std::max(latest_, late);
    since_beat_ += look_ + late;
    if (since_beat_ >= beat_) {
      since_beat_ = Time(0);
      on_beat_(std::exchange(latest_, Time(0)));
    }
    timer_.expires_at(now + look_);
    wait();
  });
}

}  // namespace fennellane
