// One question to the Consul agent from a command, which waits for its end.
#pragma once

#include <asio/co_spawn.hpp>
#include <string>

#include "agent_client.hpp"

namespace fennellane {

inline std::string no_answer_message(const AgentAnswer& answer) {
  return "Consul has not answered, status " + std::to_string(answer.status);
}

// Runs one question to its end; `ask` is a coroutine over the call. `most_text`: of a request; 0 = the usual.
// False where something went wrong, which `trouble` says.
template <class Ask>
bool run_agent_query(const ConsulSettings& consul, const Limits& limits, std::size_t most_text,
                     std::string& trouble, Ask ask) {
  asio::io_context io(1);
  AgentClient call(io, consul, limits, limits.max_fleet_answer, most_text);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await ask(call);
        call.close();
      },
      rethrow);
  try {
    io.run();
  } catch (const Json::Exception& e) {
    trouble = std::string("an answer of another shape: ") + e.what();
  }
  return trouble.empty();
}

}  // namespace fennellane
