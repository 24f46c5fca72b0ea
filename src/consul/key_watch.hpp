// Repeated blocking reads of a key or of all keys below a prefix. After any error it restarts without an
// index and with a consistent read.
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
    key,     // the entry with its metadata
    value,   // the raw value
    subtree  // all entries below a prefix
  };
  // Returns false if the answer is unreadable. `index_reset`: Consul's index has decreased.
  using OnAnswer = std::function<bool(const AgentAnswer&, bool index_reset)>;
  // `wait`: longest wait of a blocking read for a change; `call`: time limit of a request beyond that wait.
  KeyWatch(asio::io_context& io, const ConsulSettings& consul, const Limits& limits, Counters& counters,
           Log& log, std::string key, ReadMode mode, Time call, Time wait, OnAnswer on_answer);

  void start();
  void stop();  // no answer is passed on after it

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
