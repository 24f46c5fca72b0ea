// Request bodies and answers of Consul's sessions, keys and transactions, shared by several components.
#pragma once

#include <json/json.h>

#include <asio/awaitable.hpp>
#include <optional>
#include <string>

#include "agent_client.hpp"
#include "write_result.hpp"

namespace fennellane {

// Calls `read` with the parsed text; false if it is no JSON or does not have the format that `read` expects.
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
std::string session_id(const std::string& body);  // from the answer to a create; empty: invalid

// Operations of a transaction. The cas variants fail if the key's ModifyIndex is not `index`.
Json::Value session_check_operation(const std::string& key, const std::string& session);
Json::Value set_operation(const std::string& key, const std::string& value);
Json::Value cas_operation(const std::string& key, std::uint64_t index, const std::string& value);
Json::Value delete_cas_operation(const std::string& key, std::uint64_t index);
Json::Value delete_tree_operation(const std::string& prefix);
// The result of a transaction: `unknown` without a clear answer.
lease::WriteResult transaction_result(const AgentAnswer& answer);
// The base64-decoded value of a KV entry; empty if it is missing or invalid.
std::string decoded_value(const Json::Value& entry);
// Reads the value and its ModifyIndex from the answer to GET /v1/kv/KEY; false if it is invalid.
bool read_entry(const std::string& body, std::string& value, std::uint64_t& index);

// Session requests, each bounded by `limit`. `create_session` returns the id; empty: none was created.
asio::awaitable<std::string> create_session(AgentClient& client, std::string body, Time limit);
// Whether the session is alive; none if Consul did not answer.
asio::awaitable<std::optional<bool>> renew_session(AgentClient& client, std::string session, Time limit);
asio::awaitable<bool> destroy_session(AgentClient& client, std::string session, Time limit);

}  // namespace fennellane
