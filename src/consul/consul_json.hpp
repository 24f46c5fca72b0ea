// Bodies and answers of Consul's sessions, keys and transactions that several parts use.
#pragma once

#include <json/json.h>

#include <asio/awaitable.hpp>
#include <optional>
#include <string>

#include "agent_call.hpp"
#include "written.hpp"

namespace fennellane {

// Calls `read` with what the text holds; false where it is no JSON or not of the shape that `read` expects.
template <class Read>
bool with_json(const std::string& text, Read read) {
  const std::optional<Json::Value> value = json_of(text);
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
Json::Value fence(const std::string& key, const std::string& session);
Json::Value set_key(const std::string& key, const std::string& value);
Json::Value set_key_as_read(const std::string& key, std::uint64_t index, const std::string& value);
Json::Value delete_key_as_read(const std::string& key, std::uint64_t index);
Json::Value delete_below(const std::string& prefix);
// What has become of a transaction.
lease::Written written(const AgentAnswer& answer);
// The value of a key as Consul gives it, in base64; empty where it has none or is none.
std::string value_of(const Json::Value& entry);
// Of the answer to GET /v1/kv/KEY: the value and its ModifyIndex; false where it can't be read.
bool read_entry(const std::string& body, std::string& value, std::uint64_t& index);

// Calls on sessions, each bounded by `limit`. A session's id; empty: none was made.
asio::awaitable<std::string> create_session(AgentCall& call, std::string body, Time limit);
// Whether it lives; nothing where Consul has not said.
asio::awaitable<std::optional<bool>> renew_session(AgentCall& call, std::string session, Time limit);
asio::awaitable<bool> destroy_session(AgentCall& call, std::string session, Time limit);

}  // namespace fennellane
