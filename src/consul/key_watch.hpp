// A blocking read of a key, or of all below a prefix, again and again. After any trouble it begins without an
// index, and from the leader.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "agent_client.hpp"
#include "counters.hpp"

namespace fennellane {

class KeyWatch : public std::enable_shared_from_this<KeyWatch> {
 public:
  enum class ReadMode {
    key,
    value,
    subtree
  };  // with what Consul says of it; the value alone; all below a prefix
  // False: the answer is none that can be read. `afresh`: Consul's index has gone backwards.
  using OnAnswer = std::function<bool(const AgentAnswer&, bool afresh)>;
  // A read waits for a change for `wait` at most, and every other call for `call`.
  KeyWatch(asio::io_context& io, const ConsulSettings& consul, const Limits& limits, Counters& counters,
           Log& log, std::string key, ReadMode what, Time call, Time wait, OnAnswer take);

  void start();
  void stop();  // no answer is taken after it

 private:
  asio::awaitable<void> run();

  asio::io_context& io_;
  const Limits& limits_;
  Counters& counters_;
  const std::string key_;
  const ReadMode mode_;
  const Time call_, wait_;
  const OnAnswer on_answer_;
  AgentClient client_;
  asio::steady_timer retry_timer_;
  bool stopped_ = false;
};

}  // namespace fennellane
