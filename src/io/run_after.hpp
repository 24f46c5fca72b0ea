// Runs an action once, after a delay.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "limits.hpp"

namespace fennellane {

template <class Action>
void run_after(asio::io_context& io, Time pause, Action action) {
  const auto timer = std::make_shared<asio::steady_timer>(io, pause);
  timer->async_wait([timer, action = std::move(action)](asio::error_code error) mutable {
    if (!error) action();
  });
}

}  // namespace fennellane
