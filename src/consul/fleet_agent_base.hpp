// Common base of the classes that execute the fleet's effects against Consul: coroutines that keep the object
// alive, timers, and inputs posted to the reducer.
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
  FleetAgentBase(asio::io_context& io, OnInput on_input) : io_(io), on_input_(std::move(on_input)) {}
  ~FleetAgentBase() = default;

  // The coroutine owns the lambda, which keeps this object alive until it has returned.
  template <class Run>
  void spawn(Run run) {
    asio::co_spawn(
        io_, [self = shared_from_this(), run]() -> asio::awaitable<void> { co_await run(); }, rethrow);
  }
  // Posted rather than called: an answer may arrive before all effects of the present input are executed.
  void post_input(fleet::Input input) {
    asio::post(io_, [self = shared_from_this(), input = std::move(input)]() mutable {
      self->on_input_(std::move(input));
    });
  }
  void set_timer(asio::steady_timer& timer, Time at, std::function<fleet::Input()> make_input) {
    timer.expires_at(to_time_point(at));
    timer.async_wait([weak = weak_from_this(), make_input = std::move(make_input)](asio::error_code error) {
      const auto self = weak.lock();
      if (!error && self) self->on_input_(make_input());
    });
  }

  asio::io_context& io_;
  const OnInput on_input_;
};

}  // namespace fennellane
