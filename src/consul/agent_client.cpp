#include "agent_client.hpp"

#include <algorithm>
#include <sstream>

#include "clock.hpp"
#include "number.hpp"

namespace fennellane {

std::optional<Json::Value> parse_json_text(const std::string& body) {
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = 32;
  Json::Value value;
  std::string errors;
  std::istringstream in(body);
  try {
    if (Json::parseFromStream(builder, in, &value, &errors)) return value;
  } catch (const Json::Exception&) {
  }
  return std::nullopt;
}

std::string json_text(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string milliseconds_text(Time time) { return std::to_string(time.count() / 1000) + "ms"; }

std::string agent_request(const ConsulSettings& settings, const std::string& method,
                          const std::string& target, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + settings.agent.text() + "\r\n";
  if (!settings.token.empty()) text += "X-Consul-Token: " + settings.token + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

AgentClient::AgentClient(asio::io_context& io, const ConsulSettings& settings, const Limits& limits,
                         std::size_t max_body, std::size_t max_text)
    : settings_(settings), client_(io, settings.agent, limits, max_body, max_text) {}

asio::awaitable<AgentAnswer> AgentClient::request(std::string method, std::string target, std::string body,
                                                  Time limit) {
  const Time end = steady_now() + limit;
  const auto remaining = [end] { return std::max(Time(1), end - steady_now()); };
  AgentAnswer answer;
  if (!client_.open()) {
    const bool connected = co_await client_.connect(remaining());
    if (!connected) co_return answer;
  }
  const bool sent = co_await client_.send(agent_request(settings_, method, target, body), remaining());
  bool answered = false;
  if (sent) answered = co_await client_.read_answer(remaining());
  // Without closing, a late answer to this request would be taken for the answer to the next one.
  if (!answered) {
    client_.close();
    co_return answer;
  }
  answer.status = client_.answer().status();
  if (const auto index = client_.answer().header("x-consul-index"))
    answer.index = parse_unsigned(*index, UINT64_MAX).value_or(0);
  answer.body = client_.answer().take_body();
  co_return answer;
}

}  // namespace fennellane
