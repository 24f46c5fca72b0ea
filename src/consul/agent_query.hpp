// A synchronous query to the Consul agent, for commands.
#pragma once

#include <asio/co_spawn.hpp>
#include <string>

#include "agent_client.hpp"

namespace fennellane {

inline std::string no_answer_message(const AgentAnswer& answer) {
  return "Consul has not answered, status " + std::to_string(answer.status);
}

// Runs the coroutine `query` to completion with a client. `max_text`: limit for a request in bytes; 0 = the
// default. False on failure, with the reason in `error`.
template <class Query>
bool run_agent_query(const ConsulSettings& consul, const Limits& limits, std::size_t max_text,
                     std::string& error, Query query) {
  asio::io_context io(1);
  AgentClient client(io, consul, limits, limits.max_fleet_answer, max_text);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await query(client);
        client.close();
      },
      rethrow);
  try {
    io.run();
  } catch (const Json::Exception& e) {
    error = std::string("an answer has an unexpected format: ") + e.what();
  }
  return error.empty();
}

}  // namespace fennellane
