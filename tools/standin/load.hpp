// Clients of a relay for measurements: messages at set moments, over connections that stay. Latency counts
// from the intended moment, so that a relay that is slow is not spared the messages that it held up.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "config.hpp"

namespace fennellane::standin {

// A message of class `note` or `pay`, tenant `north`, as the clients' protocol has it. `budget` in ms.
std::string message_text(const std::string& id, bool pay, std::size_t destination, std::size_t body,
                         const std::string& budget);

constexpr double kUsualAnswer = 400;  // ms that a client waits for its 202
constexpr double kAim = 2000;         // ms, of both classes

struct Answered {
  std::string id;
  std::chrono::steady_clock::time_point intended;
  double ms = 0;        // from the intended moment to the answer, or to its failure
  double late_ms = 0;   // of the load itself: from the intended moment until it was sent
  unsigned status = 0;  // 0: none came
  bool pay = false;
};

class Load {
 public:
  struct Shape {
    double rate = 1;  // messages a second, over all connections
    std::size_t connections = 1;
    std::size_t destinations = 1;
    std::size_t pay_every = 4;  // one message of so many is a `pay`
    std::size_t body = 1500;
    std::string budget = "20000";
  };
  Load(const Address& relay, const Shape& shape);
  ~Load() { stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  void stop();
  // After `stop`.
  const std::vector<Answered>& answers() const { return answers_; }
  std::size_t resets() const { return resets_; }  // on a new connection, or for no answer in 5 s
  std::size_t resent() const { return resent_; }  // as the connection that was kept had been closed

 private:
  asio::awaitable<void> client(std::size_t number, std::chrono::steady_clock::time_point next,
                               std::chrono::steady_clock::duration period);

  const Address relay_;
  const Shape shape_;
  Limits limits_;
  asio::io_context io_{1};
  std::atomic<bool> stopped_ = false;
  std::vector<Answered> answers_;
  std::size_t resets_ = 0, resent_ = 0;
  std::thread thread_;
};

}  // namespace fennellane::standin
