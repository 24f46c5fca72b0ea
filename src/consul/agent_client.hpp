// One connection to the Consul agent for calls that are answered in one piece: kept open between calls, and
// every call has one span of time for all of it.
#pragma once

#include <json/json.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "consul_settings.hpp"
#include "http_client.hpp"

namespace fennellane {

struct AgentAnswer {
  unsigned status = 0;      // 0: none came
  std::uint64_t index = 0;  // X-Consul-Index; 0 = none
  std::string body;
};

// What an answer's body holds; nothing where it is no JSON, or nested deeper than any of Consul's.
std::optional<Json::Value> parse_json_text(const std::string& body);

// The same, as text; and a span as Consul reads it.
std::string json_text(const Json::Value& value);
std::string milliseconds_text(Time time);
// A request to the agent with the token, whole; a GET has no body.
std::string agent_request(const ConsulSettings& settings, const std::string& method,
                          const std::string& target, const std::string& body = {});

class AgentClient {
 public:
  // `settings` must outlive it; answers of more than `most_body` bytes count as none, and calls of more than
  // `most_text` are not sent (0 = the usual).
  AgentClient(asio::io_context& io, const ConsulSettings& settings, const Limits& limits,
              std::size_t most_body, std::size_t most_text = 0);

  asio::awaitable<AgentAnswer> request(std::string method, std::string target, std::string body, Time limit);
  void close() { client_.close(); }
  // As Client::report_strays.
  void report_strays(std::uint64_t& counter, Log& log) { client_.enable_stray_reporting(counter, log); }

 private:
  const ConsulSettings& settings_;
  HttpClient client_;
};

}  // namespace fennellane
