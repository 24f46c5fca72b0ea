#include "owners.hpp"

#include <iomanip>

#include "agent_query.hpp"

namespace fennellane {
namespace {

// A session's name is "RELAY ROLE".
std::string relay_of(const AgentAnswer& info) {
  const Json::Value list = parse_json_text(info.body).value_or(Json::Value());
  if (info.status != 200 || !list.isArray() || list.empty()) return "?";
  const std::string name = list[0].get("Name", "?").asString();
  return name.substr(0, name.rfind(' '));
}

asio::awaitable<void> query_owners(AgentClient& client, const FleetSettings& settings, std::ostream& out,
                                   std::string& error) {
  const std::string prefix = settings.key_prefix + "/role/";
  const AgentAnswer keys =
      co_await client.request("GET", "/v1/kv/" + prefix + "?recurse&consistent", "", settings.timing.call);
  if (keys.status == 404) {
    error = "no role has been held yet below " + prefix;
    co_return;
  }
  const Json::Value list = parse_json_text(keys.body).value_or(Json::Value());
  if (keys.status != 200 || !list.isArray()) {
    error = no_answer_message(keys);
    co_return;
  }
  for (const Json::Value& key : list) {
    const std::string role =
        key["Key"].asString().substr(std::min(prefix.size(), key["Key"].asString().size()));
    const std::string session = key.get("Session", "").asString();
    out << std::left << std::setw(16) << role << " ";
    if (session.empty()) {
      out << "nobody\n";
      continue;
    }
    const AgentAnswer info =
        co_await client.request("GET", "/v1/session/info/" + session, "", settings.timing.call);
    out << std::setw(20) << relay_of(info) << " token " << key["LockIndex"].asUInt64() << " session "
        << session << "\n";
  }
}

}  // namespace

bool print_owners(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                  std::ostream& out, std::string& error) {
  return run_agent_query(consul, limits, 0, error, [&](AgentClient& client) -> asio::awaitable<void> {
    co_await query_owners(client, settings, out, error);
  });
}

}  // namespace fennellane
