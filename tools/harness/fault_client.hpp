// A client of the fault laboratory, which keeps its connection for as long as it stays open.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fault_history.hpp"
#include "relay_process.hpp"

namespace fennellane::harness {

constexpr std::chrono::milliseconds kMessageBudget{5000};

class FaultClient {
 public:
  FaultClient(const standin::RelayProcess& relay, std::uint64_t seed, std::string name);

  // Hands messages in, one behind the other, until it is stopped.
  void run(const std::atomic<bool>& stop);
  const std::vector<Message>& messages() const { return messages_; }

 private:
  Message draw_message();
  Seen hand_in(const Message& message);
  bool connect();
  Seen read_answer();
  Seen close(Seen seen);

  const standin::RelayProcess& relay_;
  const std::string name_;
  std::mt19937_64 random_;
  asio::io_context io_;
  std::unique_ptr<asio::ip::tcp::socket> socket_;
  std::vector<Message> messages_;
};

}  // namespace fennellane::harness
