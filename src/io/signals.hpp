// Receives signals one by one in the event loop. They are blocked for the process, so that each is either
// passed to the callback or can be read with `read_pending`: a process that hands over to another passes on
// the signals it has not handled.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <initializer_list>
#include <optional>

namespace fennellane {

class Signals {
 public:
  // Blocks these signals from now on, in this thread and in threads that it starts. Throws std::system_error.
  Signals(asio::io_context& io, std::initializer_list<int> numbers);

  void start(std::function<void(int)> on_signal);
  // Returns a pending signal that was not passed to the callback.
  std::optional<int> read_pending();

 private:
  void await_signal();

  std::function<void(int)> on_signal_;
  asio::posix::stream_descriptor descriptor_;
};

}  // namespace fennellane
