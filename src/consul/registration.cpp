#include "registration.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "agent_client.hpp"

namespace fennellane {
std::string registration_json(const ConsulRegistration& registration, const std::string& id) {
  Json::Value check;
  check["CheckID"] = "service:" + id;
  check["Name"] = "ready";
  check["TTL"] = milliseconds_text(registration.ttl);
  check["DeregisterCriticalServiceAfter"] = milliseconds_text(registration.deregister_after);
  Json::Value body;
  body["Name"] = registration.service;
  body["ID"] = id;
  body["Address"] = registration.address;
  body["Port"] = registration.port;
  if (!registration.relay.empty()) body["Meta"]["relay"] = registration.relay;
  if (!registration.zone.empty()) body["Meta"]["zone"] = registration.zone;
  body["Check"] = check;
  return json_text(body);
}

Registration::Registration(asio::io_context& io, ConsulSettings settings, std::string id,
                           const Limits& limits, Counters& counters, Log& log)
    : io_(io),
      settings_(std::move(settings)),
      id_(std::move(id)),
      limits_(limits),
      counters_(counters),
      log_(log),
      client_(io, settings_.agent, limits, limits.max_body_size),
      sleep_timer_(io) {
  client_.enable_stray_reporting(counters.agent_strays, log);
}

void Registration::start() {
  asio::co_spawn(
      io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); }, rethrow);
}

void Registration::set_ready() {
  if (ready_) return;
  ready_ = true;
  sleep_timer_.cancel();
}

void Registration::leave(bool returns) {
  if (leaving_) return;
  leaving_ = true;
  returns_ = returns;
  sleep_timer_.cancel();
}

asio::awaitable<void> Registration::sleep_for(Time span) {
  if (leaving_) co_return;
  sleep_timer_.expires_after(span);
  asio::error_code cut_short;
  co_await sleep_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cut_short));
}

asio::awaitable<unsigned> Registration::put(std::string target, std::string body) {
  if (!client_.open()) {
    const bool connected = co_await client_.connect(limits_.agent_write_timeout);
    if (!connected) co_return 0;
  }
  const bool sent =
      co_await client_.send(agent_request(settings_, "PUT", target, body), limits_.agent_write_timeout);
  bool answered = false;
  if (sent) answered = co_await client_.read_answer(limits_.agent_write_timeout);
  const unsigned status = answered ? client_.answer().status() : 0;
  client_.answer().take_body();
  if (status != 200) client_.close();
  co_return status;
}

asio::awaitable<void> Registration::run() {
  const Time heartbeat = settings_.registration->ttl / 3;
  Time backoff = limits_.backoff_min;
  while (!leaving_) {
    unsigned status = 0;
    if (!registered_) {
      status = co_await put("/v1/agent/service/register", registration_json(*settings_.registration, id_));
      registered_ = status == 200;
    }
    if (registered_ && !leaving_) {
      status =
          co_await put(std::string("/v1/agent/check/") + (ready_ ? "pass" : "fail") + "/service:" + id_, "");
      // A restarted agent may have lost the registration: it is then registered again.
      if (status != 200 && status != 0) registered_ = false;
    }
    if (leaving_) break;
    if (status == 200) {
      if (failing_) log_("consul", "registration: working again");
      failing_ = false;
      backoff = limits_.backoff_min;
      ++counters_.consul_heartbeats;
      const bool was_ready = ready_;
      co_await sleep_for(heartbeat);
      if (was_ready == ready_) continue;
    } else {
      if (!failing_) log_("consul", "registration: status " + std::to_string(status) + "; retrying");
      failing_ = true;
      co_await sleep_for(backoff);
      backoff = std::min(backoff * 2, limits_.backoff_max);
    }
  }
  if (registered_) {
    // A named variable: GCC 12 destroys the temporary string twice if the conditional expression stands in
    // the awaited call.
    const std::string target =
        returns_ ? "/v1/agent/check/fail/service:" + id_ : "/v1/agent/service/deregister/" + id_;
    const std::string action = returns_ ? "marked critical" : "deregistered";
    const unsigned status = co_await put(target, "");
    log_("consul", "registration: " +
                       (status == 200 ? action : "not " + action + ", status " + std::to_string(status)));
  }
  client_.close();
}

}  // namespace fennellane
