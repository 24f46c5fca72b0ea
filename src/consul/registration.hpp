// The relay as a service of its own in Consul: registered, with a TTL check that passes while it is ready,
// and given back at the end. A failure of it is logged and tried again, and harms nothing else.
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
  // `settings` has a registration; `id` is unique on its agent.
  Registration(asio::io_context& io, ConsulSettings settings, std::string id, const Limits& limits,
               Counters& counters, Log& log);

  void start();
  void set_ready();
  // Another process has registered the service, and this one keeps it. Before `start`.
  void adopt() { registered_ = true; }
  bool registered() const { return registered_; }
  // Takes the service out of the catalogue, once, and ends. Where the relay `returns` soon, the service stays
  // and its check fails: nobody is sent to it, and the disruption budget still counts it.
  void leave(bool returns = false);

 private:
  asio::awaitable<void> run();
  asio::awaitable<unsigned> put(std::string target, std::string body);  // the answer's status, or 0
  asio::awaitable<void> sleep_for(Time span);

  asio::io_context& io_;
  const ConsulSettings settings_;
  const std::string id_;
  const Limits& limits_;
  Counters& counters_;
  Log& log_;
  HttpClient client_;
  asio::steady_timer pause_;
  bool registered_ = false;
  bool ready_ = false;
  bool leaving_ = false;
  bool returns_ = false;
  bool failing_ = false;  // and the log has heard so
};

}  // namespace fennellane
