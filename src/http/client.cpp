#include "client.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace fennellane {

namespace {
auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }
}  // namespace

Client::Client(asio::io_context& io, const Address& address, const Limits& limits, std::size_t most_body,
               std::size_t most_text)
    : socket_(io),
      timer_(io),
      address_(address),
      in_(limits.read_ring),
      out_(std::max(most_text, limits.notice_batch) + 1024),
      answer_(HttpReader::Kind::response, limits.head, most_body) {}

void Client::arm(Time limit) {
  timer_.expires_after(limit);
  timer_.async_wait([this](asio::error_code error) {
    if (!error && timer_.expiry() <= std::chrono::steady_clock::now()) close();
  });
}

void Client::redirect(const Address& address) {
  address_ = address;
  close();
}

void Client::close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

asio::awaitable<bool> Client::connect(Time limit) {
  close();
  in_.clear();
  out_.clear();
  answer_.reset();
  asio::error_code error;
  const auto ip = asio::ip::make_address(address_.host, error);
  if (error) co_return false;
  arm(limit);
  co_await socket_.async_connect({ip, address_.port}, into(error));
  timer_.cancel();
  if (error) close();
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  co_return socket_.is_open();
}

asio::awaitable<bool> Client::send(std::string text, Time limit) {
  answer_.reset();
  if (!out_.append(text)) co_return false;
  arm(limit);
  while (!out_.empty()) {
    asio::error_code error;
    const std::string_view data = out_.data();
    const std::size_t n =
        co_await socket_.async_write_some(asio::buffer(data.data(), data.size()), into(error));
    if (error) {
      timer_.cancel();
      close();
      co_return false;
    }
    out_.consume(n);
  }
  timer_.cancel();
  co_return true;
}

asio::awaitable<bool> Client::read(Time limit) {
  asio::error_code error;
  if (in_.empty()) {
    arm(limit);
    const std::span<char> space = in_.space();
    const std::size_t n =
        co_await socket_.async_read_some(asio::buffer(space.data(), space.size()), into(error));
    timer_.cancel();
    // Guards against bytes of the old address that had come before the connection was closed.
    if (!socket_.is_open()) co_return false;
    if (error == asio::error::eof) answer_.end_of_input();
    in_.commit(n);
  }
  in_.consume(answer_.feed(in_.data()));
  const bool good = !answer_.failed() && (!error || answer_.done());
  if (!good) close();
  co_return good;
}

asio::awaitable<bool> Client::read_answer(Time limit) { return read_answer(limit, limit); }

asio::awaitable<bool> Client::read_answer(Time piece, Time whole) {
  const auto end = std::chrono::steady_clock::now() + whole;
  while (!answer_.done()) {
    // Guards against an answer that comes byte by byte and never to its end.
    const auto left = std::chrono::duration_cast<Time>(end - std::chrono::steady_clock::now());
    const bool good = co_await read(std::clamp(left, Time(0), piece));
    if (!good) co_return false;
  }
  if (!answer_.keep_alive()) close();
  co_return true;
}

}  // namespace fennellane
