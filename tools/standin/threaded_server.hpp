// What the stand-ins share: a listener on a loopback port of its own, and a thread for each connection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fennellane::standin {

class ThreadedServer {
 public:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;
  // Called on a thread of its own; the connection ends when it returns.
  using Serve = std::function<void(const Socket&)>;
  explicit ThreadedServer(Serve serve);
  ~ThreadedServer() { stop(); }
  ThreadedServer(const ThreadedServer&) = delete;
  ThreadedServer& operator=(const ThreadedServer&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void close_connections();
  // Ends all connections and waits for their threads. Whoever serves must not wait for anything else then.
  void stop();

 private:
  void accept();

  const Serve serve_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  const std::uint16_t port_;
  std::mutex mutex_;
  bool stopping_ = false;
  std::vector<Socket> sockets_;
  std::list<std::thread> threads_;
  std::vector<std::thread::id> ended_;  // of these, not joined yet
  std::thread accepting_;
};

}  // namespace fennellane::standin
