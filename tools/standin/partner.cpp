#include "partner.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http.hpp"

namespace fennellane::standin {

Partner::Partner(std::chrono::milliseconds answers_after)
    : answers_after_(answers_after),
      server_([this](const ThreadedServer::Socket& socket) { serve(socket); }) {}

Partner::~Partner() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  server_.stop();
}

std::vector<PartnerCall> Partner::calls() const {
  const std::scoped_lock lock(mutex_);
  return calls_;
}

void Partner::serve(const ThreadedServer::Socket& socket) {
  HttpReader reader(HttpReader::Kind::request, 65536, 1 << 20);
  char piece[4096];
  asio::error_code error;
  std::chrono::steady_clock::time_point first;
  const auto peer = socket->remote_endpoint(error);
  const std::string from = error ? "" : peer.address().to_string();
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
      calls_.push_back({std::string(reader.header("x-call-id").value_or("")), from, first});
      if (stopped_.wait_for(lock, answers_after_, [this] { return stopping_; })) return;
      lock.unlock();
      reader.reset();
      asio::write(*socket, asio::buffer(format_answer(200, false)), error);
      if (error) return;
    }
  }
}

std::vector<std::unique_ptr<Partner>> make_partners(std::size_t count,
                                                    std::chrono::milliseconds answers_after) {
  std::vector<std::unique_ptr<Partner>> partners;
  for (std::size_t i = 0; i < count; ++i) partners.push_back(std::make_unique<Partner>(answers_after));
  return partners;
}

std::string host_lines(const std::vector<std::unique_ptr<Partner>>& partners) {
  std::string lines;
  for (std::size_t i = 0; i < partners.size(); ++i) {
    lines += "(host (id \"h" + std::to_string(i) + "\") (address \"" + partners[i]->address() +
             "\") (destination " + std::to_string(i) + ") (rate 100000))\n";
  }
  return lines;
}

}  // namespace fennellane::standin
