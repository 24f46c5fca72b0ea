// HTTP calls to discovery's agent or Consul's, for coroutines, each on a connection of its own, so that no
// answer can be another call's. Every step has a time limit, after which the connection is closed and the
// step fails.
//
// GCC 12 traps at run time on a co_await inside a condition within a loop. So what is awaited here, and by
// those who use this, is named first and looked at then.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>

#include "answer_pairing.hpp"
#include "config.hpp"
#include "http.hpp"
#include "rate_limited_log.hpp"
#include "ring_buffer.hpp"

namespace fennellane {

// For co_spawn: an exception that leaves a coroutine leaves the event loop too. Guards against a part of the
// relay that has died in silence while the others go on.
inline void rethrow(std::exception_ptr error) {
  if (error) std::rethrow_exception(error);
}

class HttpClient {
 public:
  // `most_text`: of one request; 0 = the usual.
  HttpClient(asio::io_context& io, const Address& address, const Limits& limits, std::size_t most_body,
             std::size_t most_text = 0);

  // Bytes that answer no call are counted there and logged, at most once in a while. Both must outlive it.
  void enable_stray_reporting(std::uint64_t& counter, Log& log);

  asio::awaitable<bool> connect(Time limit);
  // Once on each connection.
  asio::awaitable<bool> send(std::string text, Time limit);
  // Reads on; false when the connection has ended, or the answer cannot be read or may be none of this call.
  // The connection is closed behind the answer.
  asio::awaitable<bool> read(Time limit);
  // Reads one whole answer, to its end within the limit.
  asio::awaitable<bool> read_answer(Time limit);
  // Likewise, with a shorter limit for each piece of it.
  asio::awaitable<bool> read_answer(Time piece, Time whole);
  // From now on another address: the connection to the old one ends at once, and what was awaited on it
  // fails.
  void redirect(const Address& address);
  HttpReader& answer() { return answer_; }
  const HttpReader& answer() const { return answer_; }
  bool open() const { return socket_.is_open(); }
  void close();

 private:
  void arm_timer(Time limit);
  asio::awaitable<bool> can_send(Time limit);
  void report_stray();
  bool skip_interim_answer();
  std::size_t feed_answer();
  // Whether another answer stands in the one that was read, or right behind it, and is no copy of it: either
  // may be the call's.
  bool has_conflicting_answer() const;
  void close_after_answer();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Address address_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader answer_;
  AnswerPairing pairing_;
  const unsigned max_interim_answers_;
  const Time local_retry_delay_;
  unsigned interim_answers_ = 0;  // answers before the call's own
  std::string answer_prefix_;     // its first bytes as they came
  const Time stray_log_interval_;
  std::uint64_t* stray_counter_ = nullptr;
  std::optional<RateLimitedLog> stray_log_;
};

}  // namespace fennellane
