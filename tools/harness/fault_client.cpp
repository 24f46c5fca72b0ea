#include "fault_client.hpp"

#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <thread>
#include <utility>

#include "http.hpp"

namespace fennellane::harness {
namespace {

using std::chrono::milliseconds;
constexpr timeval kAnswerLimit{5, 0};
constexpr std::size_t kMostBody = 3000;  // bytes

std::string request_of(const Message& m) {
  return "POST /" + m.message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + m.id +
         "\r\nX-Call-Class: " + m.message_class +
         "\r\nX-Caller: south\r\nX-Budget-Ms: " + std::to_string(kMessageBudget.count()) +
         "\r\nX-Consignee: dest=7\r\nContent-Length: " + std::to_string(m.body.size()) + "\r\n\r\n" + m.body;
}

}  // namespace

FaultClient::FaultClient(const standin::RelayProcess& relay, std::uint64_t seed, std::string name)
    : relay_(relay), name_(std::move(name)), random_(seed) {}

void FaultClient::run(const std::atomic<bool>& stop) {
  while (!stop) {
    Message message = draw_message();
    message.due = std::chrono::steady_clock::now() + kMessageBudget;
    message.seen = hand_in(message);
    messages_.push_back(std::move(message));
    std::this_thread::sleep_for(milliseconds(5 + random_() % 30));
  }
}

Message FaultClient::draw_message() {
  Message message;
  message.id = name_ + "-" + std::to_string(messages_.size());
  message.message_class = random_() % 2 == 0 ? "note" : "pay";
  const std::size_t size = 1 + random_() % kMostBody;
  message.body = std::string(size, static_cast<char>('a' + random_() % 26));
  return message;
}

Seen FaultClient::hand_in(const Message& message) {
  if (!connect()) return close(Seen::nothing);
  asio::error_code error;
  asio::write(*socket_, asio::buffer(request_of(message)), error);
  return error ? close(Seen::nothing) : read_answer();
}

bool FaultClient::connect() {
  if (socket_ && socket_->is_open()) return true;
  socket_ = std::make_unique<asio::ip::tcp::socket>(relay_.connected(io_));
  return socket_->is_open() && ::setsockopt(socket_->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kAnswerLimit,
                                            sizeof kAnswerLimit) == 0;
}

Seen FaultClient::read_answer() {
  HttpReader reader(HttpReader::Kind::response, 65536, 65536);
  char piece[2048];
  while (!reader.done() && !reader.failed()) {
    const ssize_t n = ::recv(socket_->native_handle(), piece, sizeof piece, 0);
    if (n <= 0) return close(Seen::nothing);
    reader.feed({piece, static_cast<std::size_t>(n)});
  }
  if (!reader.done()) return close(Seen::nothing);
  const unsigned status = reader.status();
  const Seen seen = status == 202 ? Seen::taken : status == 503 ? Seen::refused : Seen::failed;
  return reader.keep_alive() ? seen : close(seen);
}

Seen FaultClient::close(Seen seen) {
  if (socket_) {
    asio::error_code ignored;
    socket_->close(ignored);
  }
  return seen;
}

}  // namespace fennellane::harness
