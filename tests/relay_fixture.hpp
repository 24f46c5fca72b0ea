// Runs the program as a process and talks to it over loopback sockets on ephemeral ports. Nothing here
// depends on the machine's speed: each step waits for its condition, with a long timeout.
#pragma once

#include <gtest/gtest.h>
#include <signal.h>

#include <asio.hpp>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <thread>

#include "http.hpp"
#include "http_server.hpp"
#include "net_fixture.hpp"
#include "relay_process.hpp"
#include "threaded_server.hpp"

namespace fennellane::test {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace fs = std::filesystem;

using standin::answer;
using standin::happens;
using standin::kReset;
using standin::Platform;
using standin::Request;
using standin::Server;

// An address that refuses connections.
inline std::string refusing_address() {
  asio::io_context io;
  tcp::acceptor free(io, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
}

// The program with the configuration that the platform would give it.
class RelayProgram : public standin::RelayProcess {
 public:
  explicit RelayProgram(const std::string& discovery, ConfigParts parts = {})
      : RelayProcess(FENNELLANE_PROGRAM), parts_(std::move(parts)) {
    parts_.listen = address();
    parts_.discovery = discovery;
    replace_config(config_json(parts_));
  }
  void move_discovery(const std::string& address) {
    parts_.discovery = address;
    replace_config(config_json(parts_));
    signal(SIGHUP);
  }

 private:
  ConfigParts parts_;
};

}  // namespace fennellane::test
