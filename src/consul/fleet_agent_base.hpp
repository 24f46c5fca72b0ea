// What all that carries out the fleet's decisions on Consul has in common: coroutines that keep it alive,
// timers, and answers told to the reducer in a turn of their own.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "clock.hpp"
#include "http_client.hpp"
#include "roles.hpp"

namespace fennellane {

class FleetAgentBase : public std::enable_shared_from_this<FleetAgentBase> {
 public:
  using OnInput = std::function<void(fleet::Input)>;

 protected:
  FleetAgentBase(asio::io_context& io, OnInput tell) : io_(io), on_input_(std::move(tell)) {}
  ~FleetAgentBase() = default;

  // The lambda is the coroutine's own, and keeps this object until it has returned.
  template <class Run>
  void spawn(Run run) {
    asio::co_spawn(
        io_, [self = shared_from_this(), run]() -> asio::awaitable<void> { co_await run(); }, rethrow);
  }
  // In a turn of its own: an answer may be there before the effects of this input have been carried out.
  void post_input(fleet::Input input) {
    asio::post(io_, [self = shared_from_this(), heard = std::move(input)]() mutable {
      self->on_input_(std::move(heard));
    });
  }
  void set_timer(asio::steady_timer& timer, Time at, std::function<fleet::Input()> due) {
    timer.expires_at(to_time_point(at));
    timer.async_wait([weak = weak_from_this(), what = std::move(due)](asio::error_code error) {
      const auto self = weak.lock();
      if (!error && self) self->on_input_(what());
    });
  }

  asio::io_context& io_;
  const OnInput on_input_;
};

}  // namespace fennellane
