#include "client.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "clock.hpp"
#include "unread_input.hpp"

namespace fennellane {

namespace {

auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kAnswerBegins = 1024;  // bytes; holds a head and the whole of a short body

bool begin_alike(std::string_view one, std::string_view other) {
  const std::size_t common = std::min(one.size(), other.size());
  return one.substr(0, common) == other.substr(0, common);
}

std::string_view without_line_ends(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of("\r\n"), text.size()));
  return text;
}

}  // namespace

Client::Client(asio::io_context& io, const Address& address, const Limits& limits, std::size_t most_body,
               std::size_t most_text)
    : socket_(io),
      timer_(io),
      address_(address),
      in_(limits.read_ring),
      out_(std::max(most_text, limits.notice_batch) + 1024),
      answer_(HttpReader::Kind::response, limits.head, most_body),
      most_interim_(limits.interim_answers),
      local_retry_(limits.local_retry),
      stray_gap_(limits.stray_gap) {}

void Client::report_strays(std::uint64_t& counter, Log& log) {
  strays_ = &counter;
  stray_log_.emplace(log, "agent", stray_gap_);
}

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
  answer_begins_.clear();
  pairing_ = {};
  interim_ = 0;
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

void Client::note_stray() {
  if (strays_ != nullptr) ++*strays_;
  if (stray_log_) (*stray_log_)(steady_now(), address_.text() + ": bytes that answer no call");
}

// Guards against an answer that came before the call that it seems to answer.
asio::awaitable<bool> Client::may_send(Time limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (socket_.is_open() && pairing_.may_call() && !pairing_.must_ask_close()) {
    const UnreadInput unread = unread_input(socket_.native_handle());
    if (unread == UnreadInput::bytes) note_stray();
    if (unread != UnreadInput::unknown) co_return unread == UnreadInput::none;
    if (std::chrono::steady_clock::now() > end) break;
    timer_.expires_after(local_retry_);
    asio::error_code cut_short;
    co_await timer_.async_wait(into(cut_short));
  }
  co_return false;
}

asio::awaitable<bool> Client::send(std::string text, Time limit) {
  const bool may = co_await may_send(limit);
  if (!may) {
    close();
    co_return false;
  }
  pairing_.begin_call(false);
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
  do {
    in_.consume(feed());
  } while (pass_over_interim());
  const bool read = !answer_.failed() && (!error || answer_.done());
  if (!read || !answer_.done()) {
    if (!read) close();
    co_return read;
  }
  const bool own = !is_contradicted();
  finish();
  co_return own;
}

std::size_t Client::feed() {
  const std::string_view bytes = in_.data();
  const std::size_t taken = answer_.feed(bytes);
  answer_begins_ += bytes.substr(0, std::min(taken, kAnswerBegins - answer_begins_.size()));
  return taken;
}

bool Client::is_contradicted() const {
  if (in_.empty()) return false;
  if (answer_.holds_another_answer()) return true;
  const std::string_view behind = without_line_ends(in_.data());
  const bool is_answer = !behind.empty() && begin_alike(behind, kVersion);
  return is_answer && !begin_alike(behind, without_line_ends(answer_begins_));
}

// Whether the answer that has come is an interim one; what follows is looked at then.
bool Client::pass_over_interim() {
  if (!answer_.done() || answer_.status() >= 200) return false;
  if (interim_++ >= most_interim_) {
    answer_.refuse();
    return false;
  }
  answer_.reset();
  answer_begins_.clear();
  return true;
}

void Client::finish() {
  if (!in_.empty()) note_stray();
  close();
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
  co_return true;
}

}  // namespace fennellane
