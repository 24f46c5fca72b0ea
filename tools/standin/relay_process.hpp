// The relay's program as a process of its own, in a folder of its own that outlasts each of its lives. For
// tests and measurements.
#pragma once

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "temporary_folder.hpp"

namespace fennellane::standin {

// Waits until `what` holds; false if it does not within the limit.
bool happens(const std::function<bool()>& what, std::chrono::seconds limit = std::chrono::seconds(30));

class RelayProcess {
 public:
  // Listens at a port of `host`, the same in each of its lives and kept for it while it is down.
  explicit RelayProcess(std::string program, std::string host = "127.0.0.1");
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  // The files in one step each, as a deployment replaces them.
  void replace_config(const std::string& json);
  void replace_settings(const std::string& sexp);

  // In the environment of its next lives.
  void set_variable(const std::string& name, const std::string& value) {
    variables_.push_back(name + "=" + value);
  }
  // Returns once it is ready; throws std::runtime_error with its log if it does not become so.
  void start();
  // Its exit code, or the signal that ended it, as a negative number.
  int end(int signal);
  void signal(int number) const;
  bool runs() const { return !gone(); }
  // Whether it has ended by itself since; `ended`: and may be started again.
  bool gone() const;
  bool ended();
  pid_t pid() const { return pid_; }
  // The one that serves, where upgrades are on and the first process only watches.
  pid_t serving() const;

  const std::string& folder() const { return folder_.path(); }
  std::string state_folder() const { return folder() + "/state"; }
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  std::uint16_t port() const { return port_; }

  std::string log() const;
  std::size_t logged(const std::string& text) const;  // how often
  // As it is printed now.
  std::uint64_t counter(const std::string& name) const;
  asio::ip::tcp::socket connected(asio::io_context& io) const;
  // The status of the answer to a text sent on a new connection; 0 if there is none.
  unsigned ask(const std::string& text, bool end_sending = false) const;

 private:
  void replace(const std::string& name, const std::string& text) const;

  const std::string program_, host_;
  std::vector<std::string> variables_;
  const TemporaryFolder folder_{"relay"};
  int reserved_ = -1;  // a socket that keeps the port
  std::uint16_t port_ = 0;
  pid_t pid_ = 0;
};

}  // namespace fennellane::standin
