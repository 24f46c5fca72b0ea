// A client of the fault laboratory, which keeps its connection for as long as it stays open.
#pragma once

#include <atomic>
#include <random>
#include <string>
#include <vector>

#include "fault_connection.hpp"
#include "fault_history.hpp"
#include "relay_process.hpp"

namespace fennellane::harness {

constexpr std::chrono::milliseconds kMessageBudget{5000};

class FaultClient {
 public:
  // Of 100 messages, `contested_in_100` are handed in in two pieces, and between these another client hands
  // in a message of its own with the same id.
  FaultClient(const standin::RelayProcess& relay, std::uint64_t seed, std::string name,
              unsigned contested_in_100);

  // Hands messages in, one behind the other, until it is stopped.
  void run(const std::atomic<bool>& stop);
  // The other client's included.
  const std::vector<Message>& messages() const { return messages_; }

 private:
  Message draw_message();
  Message draw_rival(const Message& message);
  void hand_in(const Message& message);
  void hand_in_contested(const Message& message);
  void keep(Message message, Seen seen);

  const std::string name_;
  const unsigned contested_in_100_;
  std::mt19937_64 random_;
  std::mt19937_64 rival_random_;  // its own, so that the messages of a seed are the same without rivals
  FaultConnection connection_;
  FaultConnection rival_connection_;
  std::size_t drawn_ = 0;
  std::vector<Message> messages_;
};

}  // namespace fennellane::harness
