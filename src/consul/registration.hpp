// Registers the relay itself as a service in Consul, with a TTL check that passes while it is ready, and
// deregisters it at the end. Failures are logged and retried, and have no other effect.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "consul_settings.hpp"
#include "counters.hpp"
#include "http_client.hpp"
#include "log.hpp"

namespace fennellane {

// The body of PUT /v1/agent/service/register.
std::string registration_json(const ConsulRegistration& registration, const std::string& id);

class Registration : public std::enable_shared_from_this<Registration> {
 public:
  // `settings` has a registration; `id` is unique on the agent.
  Registration(asio::io_context& io, ConsulSettings settings, std::string id, const Limits& limits,
               Counters& counters, Log& log);

  void start();
  void set_ready();
  // Takes over the registration made by another process. Before `start`.
  void adopt() { registered_ = true; }
  bool registered() const { return registered_; }
  // Deregisters the service and ends; later calls have no effect. If the relay `returns` soon, the service
  // stays registered with a failing check: it gets no traffic, and the disruption budget still counts it.
  void leave(bool returns = false);

 private:
  asio::awaitable<void> run();
  asio::awaitable<unsigned> put(std::string target, std::string body);  // status of the answer, or 0
  asio::awaitable<void> sleep_for(Time span);

  asio::io_context& io_;
  const ConsulSettings settings_;
  const std::string id_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  HttpClient client_;
  asio::steady_timer sleep_timer_;
  bool registered_ = false;
  bool ready_ = false;
  bool leaving_ = false;
  bool returns_ = false;
  bool failing_ = false;  // and this was logged
};

}  // namespace fennellane
