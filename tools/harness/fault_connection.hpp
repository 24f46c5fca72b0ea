// A connection of the fault laboratory's clients to a relay, kept for as long as it stays open.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string_view>

#include "fault_history.hpp"
#include "relay_process.hpp"

namespace fennellane::harness {

class FaultConnection {
 public:
  explicit FaultConnection(const standin::RelayProcess& relay) : relay_(relay) {}

  // Opens it where it is closed. False if that or the writing fails; the connection is closed then.
  bool write(std::string_view bytes);
  // Of the request written last.
  Seen read_answer();
  void close();

 private:
  bool open();

  const standin::RelayProcess& relay_;
  asio::io_context io_;
  std::unique_ptr<asio::ip::tcp::socket> socket_;
};

}  // namespace fennellane::harness
