// Bodies and answers of Consul's sessions, keys and transactions that several parts use.
#pragma once

#include <json/json.h>

#include <asio/awaitable.hpp>
#include <optional>
#include <string>

#include "agent_client.hpp"
#include "write_result.hpp"

namespace fennellane {

// Calls `read` with what the text holds; false where it is no JSON or not of the shape that `read` expects.
template <class Read>
bool with_json(const std::string& text, Read read) {
  const std::optional<Json::Value> value = parse_json_text(text);
  try {
    return value && read(*value);
  } catch (const Json::Exception&) {
    return false;
  }
}

// The body of PUT /v1/session/create. `behavior`: "release" or "delete".
std::string session_json(const std::string& name, const char* behavior, Time ttl, Time lock_delay);
std::string session_id(const std::string& body);  // of the answer to a create; empty: none can be read

// Operations of a transaction.
Json::Value session_check_operation(const std::string& key, const std::string& session);
Json::Value set_operation(const std::string& key, const std::string& value);
Json::Value cas_operation(const std::string& key, std::uint64_t index, const std::string& value);
Json::Value delete_cas_operation(const std::string& key, std::uint64_t index);
Json::Value delete_tree_operation(const std::string& prefix);
// What has become of a transaction.
lease::WriteResult transaction_result(const AgentAnswer& answer);
// The value of a key as Consul gives it, in base64; empty where it has none or is none.
std::string decoded_value(const Json::Value& entry);
// Of the answer to GET /v1/kv/KEY: the value and its ModifyIndex; false where it can't be read.
bool read_entry(const std::string& body, std::string& value, std::uint64_t& index);

// Calls on sessions, each bounded by `limit`. A session's id; empty: none was made.
asio::awaitable<std::string> create_session(AgentClient& call, std::string body, Time limit);
// Whether it lives; nothing where Consul has not said.
asio::awaitable<std::optional<bool>> renew_session(AgentClient& call, std::string session, Time limit);
asio::awaitable<bool> destroy_session(AgentClient& call, std::string session, Time limit);

}  // namespace fennellane
