// Signals, taken one by one in the loop's turn. They are blocked for the process, so that each is either
// handed out or can be asked for: a process that leaves its work to another passes on what it has not looked
// at.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <initializer_list>
#include <optional>

namespace fennellane {

class Signals {
 public:
  // Blocks these from now on, in this thread and those that it starts. Throws std::system_error.
  Signals(asio::io_context& io, std::initializer_list<int> numbers);

  void start(std::function<void(int)> on_signal);
  // One that has come and was not handed out.
  std::optional<int> read_pending();

 private:
  void await_signal();

  std::function<void(int)> on_signal_;
  asio::posix::stream_descriptor descriptor_;
};

}  // namespace fennellane
