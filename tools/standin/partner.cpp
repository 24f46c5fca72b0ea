#include "partner.hpp"

#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http.hpp"

namespace fennellane::standin {

using asio::ip::tcp;

Partner::Partner(std::chrono::milliseconds answers_after)
    : answers_after_(answers_after), acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
  threads_.emplace_back([this] { accept(); });
}

Partner::~Partner() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    for (const Socket& socket : sockets_) ::shutdown(socket->native_handle(), SHUT_RDWR);
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  }
  stopped_.notify_all();
  threads_[0].join();
  for (std::size_t i = 1; i < threads_.size(); ++i) threads_[i].join();
}

std::vector<PartnerCall> Partner::calls() const {
  const std::scoped_lock lock(mutex_);
  return calls_;
}

void Partner::accept() {
  while (true) {
    asio::error_code error;
    auto socket = std::make_shared<tcp::socket>(io_);
    acceptor_.accept(*socket, error);
    const std::scoped_lock lock(mutex_);
    if (error || stopping_) return;
    socket->set_option(tcp::no_delay(true), error);
    sockets_.push_back(socket);
    threads_.emplace_back([this, socket] { serve(socket); });
  }
}

void Partner::serve(const Socket& socket) {
  HttpReader reader(HttpReader::Kind::request, 65536, 1 << 20);
  char piece[4096];
  asio::error_code error;
  std::chrono::steady_clock::time_point first;
  while (true) {
    const std::size_t n = socket->read_some(asio::buffer(piece), error);
    if (error) return;
    if (!reader.started()) first = std::chrono::steady_clock::now();
    std::string_view text(piece, n);
    while (!text.empty()) {
      text.remove_prefix(reader.feed(text));
      if (reader.failed()) return;
      if (!reader.done()) continue;
      std::unique_lock lock(mutex_);
      calls_.push_back({std::string(reader.header("x-call-id").value_or("")), first});
      if (stopped_.wait_for(lock, answers_after_, [this] { return stopping_; })) return;
      lock.unlock();
      reader.reset();
      asio::write(*socket, asio::buffer(answer_text(200, false)), error);
      if (error) return;
    }
  }
}

}  // namespace fennellane::standin
