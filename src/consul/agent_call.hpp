// One connection to the Consul agent for calls that are answered in one piece: kept open between calls, and
// every call has one span of time for all of it.
#pragma once

#include <json/json.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "client.hpp"
#include "consul_settings.hpp"

namespace fennellane {

struct AgentAnswer {
  unsigned status = 0;      // 0: none came
  std::uint64_t index = 0;  // X-Consul-Index; 0 = none
  std::string body;
};

// What an answer's body holds; nothing where it is no JSON, or nested deeper than any of Consul's.
std::optional<Json::Value> json_of(const std::string& body);

// The same, as text; and a span as Consul reads it.
std::string json_text(const Json::Value& value);
std::string milliseconds_text(Time time);
// A request to the agent with the token, whole; a GET has no body.
std::string agent_request(const ConsulSettings& settings, const std::string& method,
                          const std::string& target, const std::string& body = {});

class AgentCall {
 public:
  // `settings` must outlive it; answers of more than `most_body` bytes count as none, and calls of more than
  // `most_text` are not sent (0 = the usual).
  AgentCall(asio::io_context& io, const ConsulSettings& settings, const Limits& limits, std::size_t most_body,
            std::size_t most_text = 0);

  asio::awaitable<AgentAnswer> ask(std::string method, std::string target, std::string body, Time limit);
  void close() { client_.close(); }
  // As Client::report_strays.
  void report_strays(std::uint64_t& counter, Log& log) { client_.report_strays(counter, log); }

 private:
  const ConsulSettings& settings_;
  Client client_;
};

}  // namespace fennellane
