// The connection between a running process and the one that takes over from it. Carries handover messages and
// file descriptors.
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
  // `socket`: a connected Unix stream socket; it is made non-blocking.
  explicit Channel(FileDescriptor socket);

  int descriptor() const { return socket_.get(); }
  FileDescriptor release_socket() { return std::move(socket_); }  // the channel is unusable afterwards

  // Queues a message. The caller keeps the descriptors and must leave them open until the message is written.
  void send(const handover::Message& message, std::vector<int> descriptors = {});
  // Writes as much as possible without blocking. If the peer is gone, the queue is dropped; `receive` reports
  // that. Throws ChannelError for other errors.
  void flush();
  bool has_queued() const { return !queue_.empty(); }
  // Discards queued messages.
  void clear_queue() { queue_.clear(); }

  // Reads what is available; false once the peer has closed the connection. Throws ChannelError, also if the
  // system or this process has reached its limit of descriptors.
  bool receive();
  // Throws handover::FrameError; the connection is unusable then.
  std::optional<handover::Message> next() { return reader_.next(); }
  // Received descriptors, in order.
  IncomingDescriptors& descriptors() { return descriptors_; }

 private:
  struct QueuedMessage {
    std::string bytes;
    std::vector<int> descriptors;  // sent with the first byte
    std::size_t written_bytes = 0;
  };

  FileDescriptor socket_;
  std::deque<QueuedMessage> queue_;
  handover::FrameReader reader_;
  IncomingDescriptors descriptors_;
};

}  // namespace fennellane::upgrade
