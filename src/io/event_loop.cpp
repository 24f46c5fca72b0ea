#include "event_loop.hpp"

#include <asio/steady_timer.hpp>
#include <cerrno>
#include <system_error>

namespace fennellane {

void require_working_timers(asio::io_context& io) {
  constexpr std::chrono::milliseconds kShort{1};
  constexpr std::chrono::milliseconds kLong{500};
  bool expired = false;
  asio::steady_timer timer(io, kShort);
  timer.async_wait([&expired](asio::error_code error) { expired = !error; });
  io.run_for(kLong);
  if (!expired) {
    timer.cancel();
    io.restart();
    io.poll();
  }
  io.restart();
  if (!expired) throw std::system_error(ENOMEM, std::generic_category(), "the event loop's timers");
}

bool poll_until_idle(asio::io_context& io, Time max_duration) {
  const auto end = std::chrono::steady_clock::now() + max_duration;
  while (std::chrono::steady_clock::now() < end) {
    if (io.poll_one() == 0) return true;
  }
  return false;
}

}  // namespace fennellane
