// The connection between a running process and the one that takes over from it: handover messages, and
// descriptors that go along with them.
#pragma once

#include <deque>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "descriptor.hpp"
#include "frame.hpp"

namespace fennellane::upgrade {

class ChannelError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Channel {
 public:
  // A connected stream socket of the Unix family, which is made non-blocking.
  explicit Channel(FileDescriptor socket);

  int descriptor() const { return socket_.get(); }
  FileDescriptor release_socket() { return std::move(socket_); }  // of no use after it

  // Queues a message, with descriptors that stay their owners'; these must stay open until it is written.
  void send(const handover::Message& message, std::vector<int> descriptors = {});
  // Writes what goes at once. What cannot be written as the other side is gone is dropped: its end is told
  // by `receive`. Throws ChannelError for other trouble.
  void flush();
  bool has_queued() const { return !queue_.empty(); }
  // Writes nothing more of what is queued.
  void clear_queue() { queue_.clear(); }

  // Reads what is there; false at the other side's end. Throws ChannelError, also where the machine or this
  // process has no room for a descriptor that came.
  bool receive();
  // Throws handover::FrameError: the connection is of no use then.
  std::optional<handover::Message> next() { return reader_.next(); }
  // Those that have come, in their order.
  IncomingDescriptors& descriptors() { return descriptors_; }

 private:
  struct QueuedMessage {
    std::string bytes;
    std::vector<int> descriptors;  // with its first byte
    std::size_t written_bytes = 0;
  };

  FileDescriptor socket_;
  std::deque<QueuedMessage> queue_;
  handover::FrameReader reader_;
  IncomingDescriptors descriptors_;
};

}  // namespace fennellane::upgrade
