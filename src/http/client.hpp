// One HTTP connection to discovery's agent, for coroutines: every step has a time limit, after which the
// connection is closed and the step fails.
//
// GCC 12 traps at run time on a co_await inside a condition within a loop. So what is awaited here, and by
// those who use this, is named first and looked at then.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <exception>
#include <string>

#include "config.hpp"
#include "http.hpp"
#include "ring_buffer.hpp"

namespace fennellane {

// For co_spawn: an exception that leaves a coroutine leaves the event loop too. Guards against a part of the
// relay that has died in silence while the others go on.
inline void rethrow(std::exception_ptr error) {
  if (error) std::rethrow_exception(error);
}

class Client {
 public:
  // `most_text`: of one request; 0 = the usual.
  Client(asio::io_context& io, const Address& address, const Limits& limits, std::size_t most_body,
         std::size_t most_text = 0);

  asio::awaitable<bool> connect(Time limit);
  asio::awaitable<bool> send(std::string text, Time limit);
  // Reads on; false when the connection has ended or the answer cannot be read.
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
  void arm(Time limit);

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Address address_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader answer_;
};

}  // namespace fennellane
