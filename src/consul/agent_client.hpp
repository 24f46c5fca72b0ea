// One connection to the Consul agent for requests whose answer is read as a whole. It is kept open between
// requests, and each request has one time limit for all its steps.
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
  unsigned status = 0;      // 0: no answer
  std::uint64_t index = 0;  // X-Consul-Index; 0 = none
  std::string body;
};

// The JSON value in the text; none if it is no JSON or nested deeper than any answer of Consul.
std::optional<Json::Value> parse_json_text(const std::string& body);

// Compact JSON text; a duration in Consul's notation.
std::string json_text(const Json::Value& value);
std::string milliseconds_text(Time time);
// The text of a request to the agent, with the token; a GET has no body.
std::string agent_request(const ConsulSettings& settings, const std::string& method,
                          const std::string& target, const std::string& body = {});

class AgentClient {
 public:
  // `settings` must outlive this object. An answer of more than `max_body` bytes counts as no answer, and a
  // request of more than `max_text` bytes is not sent (0 = the default limit).
  AgentClient(asio::io_context& io, const ConsulSettings& settings, const Limits& limits,
              std::size_t max_body, std::size_t max_text = 0);

  asio::awaitable<AgentAnswer> request(std::string method, std::string target, std::string body, Time limit);
  void close() { client_.close(); }
  // See Client::report_strays.
  void report_strays(std::uint64_t& counter, Log& log) { client_.enable_stray_reporting(counter, log); }

 private:
  const ConsulSettings& settings_;
  HttpClient client_;
};

}  // namespace fennellane
