#include "fault_connection.hpp"

#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http.hpp"

namespace fennellane::harness {
namespace {

constexpr timeval kAnswerLimit{5, 0};

}  // namespace

bool FaultConnection::write(std::string_view bytes) {
  asio::error_code error = asio::error::not_connected;
  if (open()) asio::write(*socket_, asio::buffer(bytes), error);
  if (error) close();
  return !error;
}

bool FaultConnection::open() {
  if (socket_ && socket_->is_open()) return true;
  socket_ = std::make_unique<asio::ip::tcp::socket>(relay_.connected(io_));
  return socket_->is_open() && ::setsockopt(socket_->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kAnswerLimit,
                                            sizeof kAnswerLimit) == 0;
}

Seen FaultConnection::read_answer() {
  HttpReader reader(HttpReader::Kind::response, 65536, 65536);
  char piece[2048];
  while (!reader.done() && !reader.failed()) {
    const ssize_t n = ::recv(socket_->native_handle(), piece, sizeof piece, 0);
    if (n <= 0) break;
    reader.feed({piece, static_cast<std::size_t>(n)});
  }
  if (!reader.done() || !reader.keep_alive()) close();
  if (!reader.done()) return Seen::nothing;
  const unsigned status = reader.status();
  return status == 202 ? Seen::taken : status == 503 ? Seen::refused : Seen::failed;
}

void FaultConnection::close() {
  if (!socket_) return;
  asio::error_code ignored;
  socket_->close(ignored);
}

}  // namespace fennellane::harness
