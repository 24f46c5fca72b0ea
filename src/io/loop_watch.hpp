// How late the loop runs: a timer that looks at the clock now and then.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "limits.hpp"

namespace fennellane {

class LoopWatch {
 public:
  // `on_beat` is called every `beat`, with the longest that the loop was late since the last call.
  using OnBeat = std::function<void(Time latest)>;
  LoopWatch(asio::io_context& io, Time look, Time beat, OnBeat on_beat);
  void start();

 private:
  void wait();

  asio::steady_timer timer_;
  const Time look_;
  const Time beat_;
  const OnBeat on_beat_;
  Time latest_{};
  Time since_beat_{};
};

}  // namespace fennellane
