// A stand-in for one endpoint of a partner system: takes calls on loopback, answers each after a while, and
// keeps when the first byte of each came.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fennellane::standin {

struct PartnerCall {
  std::string id;
  std::chrono::steady_clock::time_point first_byte;
};

class Partner {
 public:
  explicit Partner(std::chrono::milliseconds answers_after);
  ~Partner();
  Partner(const Partner&) = delete;
  Partner& operator=(const Partner&) = delete;

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::vector<PartnerCall> calls() const;

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;
  void accept();
  void serve(const Socket& socket);

  const std::chrono::milliseconds answers_after_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<PartnerCall> calls_;
  std::vector<Socket> sockets_;
  std::vector<std::thread> threads_;
};

}  // namespace fennellane::standin
