#include "consul_json.hpp"

#include <algorithm>
#include <cctype>
#include <cereal/external/base64.hpp>
#include <exception>
#include <utility>

namespace fennellane {

// Without node checks, so that only the TTL ends the session, as the timing argument in docs/ownership.md
// requires.
std::string session_json(const std::string& name, const char* behavior, Time ttl, Time lock_delay) {
  Json::Value body;
  body["Name"] = name;
  body["TTL"] = milliseconds_text(ttl);
  body["LockDelay"] = milliseconds_text(lock_delay);
  body["Behavior"] = behavior;
  body["NodeChecks"] = Json::Value(Json::arrayValue);
  return json_text(body);
}

std::string session_id(const std::string& body) {
  std::string id;
  with_json(body, [&id](const Json::Value& json) {
    id = json["ID"].asString();
    return true;
  });
  // The id becomes part of request targets.
  const bool plain =
      std::all_of(id.begin(), id.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-'; });
  return plain && id.size() <= 64 ? id : "";
}

// The fencing operation: a transaction with it succeeds only while the session holds the key's lock.
Json::Value session_check_operation(const std::string& key, const std::string& session) {
  Json::Value operation;
  operation["KV"]["Verb"] = "check-session";
  operation["KV"]["Key"] = key;
  operation["KV"]["Session"] = session;
  return operation;
}

lease::WriteResult transaction_result(const AgentAnswer& answer) {
  return answer.status == 200   ? lease::WriteResult::accepted
         : answer.status == 409 ? lease::WriteResult::refused
                                : lease::WriteResult::unknown;
}

namespace {

Json::Value kv_operation(const char* verb, const std::string& key, const std::string& value) {
  Json::Value operation;
  operation["KV"]["Verb"] = verb;
  operation["KV"]["Key"] = key;
  operation["KV"]["Value"] =
      cereal::base64::encode(reinterpret_cast<const unsigned char*>(value.data()), value.size());
  return operation;
}

}  // namespace

Json::Value set_operation(const std::string& key, const std::string& value) {
  return kv_operation("set", key, value);
}

Json::Value cas_operation(const std::string& key, std::uint64_t index, const std::string& value) {
  Json::Value operation = kv_operation("cas", key, value);
  operation["KV"]["Index"] = Json::UInt64(index);
  return operation;
}

Json::Value delete_cas_operation(const std::string& key, std::uint64_t index) {
  Json::Value operation;
  operation["KV"]["Verb"] = "delete-cas";
  operation["KV"]["Key"] = key;
  operation["KV"]["Index"] = Json::UInt64(index);
  return operation;
}

Json::Value delete_tree_operation(const std::string& prefix) {
  Json::Value operation;
  operation["KV"]["Verb"] = "delete-tree";
  operation["KV"]["Key"] = prefix;
  return operation;
}

std::string decoded_value(const Json::Value& entry) {
  const std::string text = entry.get("Value", "").asString();
  try {
    return cereal::base64::decode(text);
  } catch (const std::exception&) {
    return "";
  }
}

bool read_entry(const std::string& body, std::string& value, std::uint64_t& index) {
  return with_json(body, [&](const Json::Value& json) {
    if (!json.isArray() || json.size() != 1) return false;
    value = decoded_value(json[0]);
    index = json[0]["ModifyIndex"].asUInt64();
    return true;
  });
}

asio::awaitable<std::string> create_session(AgentClient& client, std::string body, Time limit) {
  const AgentAnswer answer = co_await client.request("PUT", "/v1/session/create", std::move(body), limit);
  co_return answer.status == 200 ? session_id(answer.body) : "";
}

asio::awaitable<std::optional<bool>> renew_session(AgentClient& client, std::string session, Time limit) {
  const AgentAnswer answer = co_await client.request("PUT", "/v1/session/renew/" + session, "", limit);
  if (answer.status != 200 && answer.status != 404) co_return std::nullopt;
  co_return answer.status == 200;
}

asio::awaitable<bool> destroy_session(AgentClient& client, std::string session, Time limit) {
  const AgentAnswer answer = co_await client.request("PUT", "/v1/session/destroy/" + session, "", limit);
  co_return answer.status == 200;
}

}  // namespace fennellane
