// One question to the Consul agent from a command, which waits for its end.
#pragma once

#include <asio/co_spawn.hpp>
#include <string>

#include "agent_call.hpp"

namespace fennellane {

inline std::string not_answered(const AgentAnswer& answer) {
  return "Consul has not answered, status " + std::to_string(answer.status);
}

// Runs one question to its end; `ask` is a coroutine over the call. `most_text`: of a request; 0 = the usual.
// False where something went wrong, which `trouble` says.
template <class Ask>
bool with_agent(const ConsulSettings& consul, const Limits& limits, std::size_t most_text,
                std::string& trouble, Ask ask) {
  asio::io_context io(1);
  AgentCall call(io, consul, limits, limits.fleet_answer, most_text);
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
