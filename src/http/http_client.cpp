#include "http_client.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include "clock.hpp"
#include "unread_input.hpp"

namespace fennellane {

namespace {

auto store_error_in(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

constexpr std::string_view kHttpVersionPrefix = "HTTP/1.";
constexpr std::size_t kMaxAnswerPrefixBytes = 1024;  // holds the head and a short body

bool one_is_prefix_of_other(std::string_view one, std::string_view other) {
  const std::size_t common = std::min(one.size(), other.size());
  return one.substr(0, common) == other.substr(0, common);
}

std::string_view strip_leading_line_ends(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of("\r\n"), text.size()));
  return text;
}

}  // namespace

HttpClient::HttpClient(asio::io_context& io, const Address& address, const Limits& limits,
                       std::size_t max_body_bytes, std::size_t max_request_bytes)
    : socket_(io),
      timer_(io),
      address_(address),
      in_(limits.read_ring_size),
      out_(std::max(max_request_bytes, limits.max_notice_batch) + 1024),
      answer_(HttpReader::Kind::response, limits.max_head_size, max_body_bytes),
      max_interim_answers_(limits.max_interim_answers),
      local_retry_delay_(limits.local_retry_delay),
      stray_log_interval_(limits.stray_log_interval) {}

void HttpClient::enable_stray_reporting(std::uint64_t& counter, Log& log) {
  stray_counter_ = &counter;
  stray_log_.emplace(log, "agent", stray_log_interval_);
}

void HttpClient::arm_timer(Time limit) {
  timer_.expires_after(limit);
  timer_.async_wait([this](asio::error_code error) {
    if (!error && timer_.expiry() <= std::chrono::steady_clock::now()) close();
  });
}

void HttpClient::redirect(const Address& address) {
  address_ = address;
  close();
}

void HttpClient::close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

asio::awaitable<bool> HttpClient::connect(Time limit) {
  close();
  in_.clear();
  out_.clear();
  answer_.reset();
  answer_prefix_.clear();
  pairing_ = {};
  interim_answers_ = 0;
  asio::error_code error;
  const auto ip = asio::ip::make_address(address_.host, error);
  if (error) co_return false;
  arm_timer(limit);
  co_await socket_.async_connect({ip, address_.port}, store_error_in(error));
  timer_.cancel();
  if (error) close();
  if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
  co_return socket_.is_open();
}

void HttpClient::report_stray() {
  if (stray_counter_ != nullptr) ++*stray_counter_;
  if (stray_log_) (*stray_log_)(steady_now(), address_.text() + ": unsolicited bytes");
}

// Returns false if bytes arrived before the call is sent, since they would be taken for its answer.
asio::awaitable<bool> HttpClient::can_send(Time limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (socket_.is_open() && pairing_.can_start_call() && !pairing_.must_request_close()) {
    const UnreadInput unread = peek_unread_input(socket_.native_handle());
    if (unread == UnreadInput::bytes) report_stray();
    if (unread != UnreadInput::unknown) co_return unread == UnreadInput::none;
    if (std::chrono::steady_clock::now() > end) break;
    timer_.expires_after(local_retry_delay_);
    asio::error_code ignored;
    co_await timer_.async_wait(store_error_in(ignored));
  }
  co_return false;
}

asio::awaitable<bool> HttpClient::send(std::string text, Time limit) {
  const bool ready = co_await can_send(limit);
  if (!ready) {
    close();
    co_return false;
  }
  pairing_.begin_call(false);
  answer_.reset();
  if (!out_.append(text)) co_return false;
  arm_timer(limit);
  while (!out_.empty()) {
    asio::error_code error;
    const std::string_view data = out_.data();
    const std::size_t n =
        co_await socket_.async_write_some(asio::buffer(data.data(), data.size()), store_error_in(error));
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

asio::awaitable<bool> HttpClient::read(Time limit) {
  asio::error_code error;
  if (in_.empty()) {
    arm_timer(limit);
    const std::span<char> space = in_.space();
    const std::size_t n =
        co_await socket_.async_read_some(asio::buffer(space.data(), space.size()), store_error_in(error));
    timer_.cancel();
    // Rejects bytes that arrived from the old address before the connection was closed.
    if (!socket_.is_open()) co_return false;
    if (error == asio::error::eof) answer_.end_of_input();
    in_.commit(n);
  }
  do {
    in_.consume(feed_answer());
  } while (skip_interim_answer());
  const bool valid = !answer_.failed() && (!error || answer_.done());
  if (!valid || !answer_.done()) {
    if (!valid) close();
    co_return valid;
  }
  const bool unambiguous = !has_conflicting_answer();
  close_after_answer();
  co_return unambiguous;
}

std::size_t HttpClient::feed_answer() {
  const std::string_view bytes = in_.data();
  const std::size_t consumed = answer_.feed(bytes);
  answer_prefix_ += bytes.substr(0, std::min(consumed, kMaxAnswerPrefixBytes - answer_prefix_.size()));
  return consumed;
}

bool HttpClient::has_conflicting_answer() const {
  if (in_.empty()) return false;
  if (answer_.has_second_status_line()) return true;
  const std::string_view following = strip_leading_line_ends(in_.data());
  const bool is_answer = !following.empty() && one_is_prefix_of_other(following, kHttpVersionPrefix);
  return is_answer && !one_is_prefix_of_other(following, strip_leading_line_ends(answer_prefix_));
}

// Returns whether the received answer is an interim one. If so, it is dropped and the following bytes are
// parsed.
bool HttpClient::skip_interim_answer() {
  if (!answer_.done() || answer_.status() >= 200) return false;
  if (interim_answers_++ >= max_interim_answers_) {
    answer_.mark_failed();
    return false;
  }
  answer_.reset();
  answer_prefix_.clear();
  return true;
}

void HttpClient::close_after_answer() {
  if (!in_.empty()) report_stray();
  close();
}

asio::awaitable<bool> HttpClient::read_answer(Time limit) { return read_answer(limit, limit); }

asio::awaitable<bool> HttpClient::read_answer(Time piece_limit, Time total_limit) {
  const auto end = std::chrono::steady_clock::now() + total_limit;
  while (!answer_.done()) {
    // Bounds the whole answer as well, so that one that arrives byte by byte cannot take forever.
    const auto remaining = std::chrono::duration_cast<Time>(end - std::chrono::steady_clock::now());
    const bool ok = co_await read(std::clamp(remaining, Time(0), piece_limit));
    if (!ok) co_return false;
  }
  co_return true;
}

}  // namespace fennellane
