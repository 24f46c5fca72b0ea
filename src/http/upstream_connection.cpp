#include "upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <cerrno>
#include <span>
#include <utility>

#include "adopt_socket.hpp"
#include "socket_error.hpp"

namespace fennellane {

using asio::ip::tcp;
using starlinghook::Outcome;

Upstream::Connection::Connection(Upstream& pool, HostId host)
    : pool_(pool),
      connection_count_(pool.connection_count_),
      host_(host),
      connection_number_(++pool.last_connection_number_),
      opened_at_(steady_now()),
      socket_(pool.io_),
      timer_(pool.io_),
      in_(pool.config_.limits.read_ring_size),
      out_(pool.config_.limits.call_ring_size),
      answer_(HttpReader::Kind::response, pool.config_.limits.max_head_size,
              pool.config_.limits.max_body_size) {
  ++*connection_count_;
}

void Upstream::Connection::connect(StartCall call) {
  set_call(std::move(call));
  ++pool_.counters_.connects;
  arm_timer(std::min({pool_.config_.limits.connect_timeout, call_.timeout, call_.begin_within}));
  begin_connect();
}

void Upstream::Connection::adopt_socket(FileDescriptor fd) { adopt_tcp_socket(socket_, std::move(fd)); }

void Upstream::Connection::resume() {
  if (!has_call_) {
    await_idle_timeout();
    return await_readable();
  }
  if (pending_end_ != PendingEnd::none)
    asio::post(pool_.io_, [self = shared_from_this()] { self->end_pending_call(); });
  if (pending_end_ != PendingEnd::none && !socket_.is_open()) return;
  arm_timer_at(timer_.expiry());
  if (!socket_.is_open()) return begin_connect();
  if (!connected_) return await_connected();
  if (!out_.empty()) await_writable();
  await_readable();
}

void Upstream::Connection::reuse(StartCall call) {
  set_call(std::move(call));
  idle_before_call_ = std::max(Time(1), steady_now() - idle_since_);
  ++pool_.counters_.reused;
  arm_timer_at(deadline_);
  write_pending();
}

UnreadInput Upstream::Connection::check_unread_input() {
  const UnreadInput unread = peek_unread_input(socket_.native_handle());
  if (unread == UnreadInput::bytes) report_stray(record::StrayPlace::resting);
  return unread;
}

void Upstream::Connection::cancel(const CancelCall& call) {
  if (has_call_ && call_.stream == call.stream && call_.attempt == call.attempt)
    schedule_end(PendingEnd::cancelled);
}

void Upstream::Connection::cancel_unsent(const CancelUnsentCall& call) {
  if (!has_call_ || call_started_ || call_.stream != call.stream || call_.attempt != call.attempt) return;
  schedule_end(PendingEnd::cancelled_unsent);
}

void Upstream::Connection::close(record::ConnectionEnd reason) {
  if (!socket_.is_open()) return;
  asio::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  pool_.record_.note(record::Kind::host_connection, connection_number_, static_cast<std::uint16_t>(reason),
                     {pairing_.calls(), record::ms32(steady_now() - opened_at_)}, address_);
}

void Upstream::Connection::close_idle(UnreadInput unread) {
  close(unread == UnreadInput::bytes ? record::ConnectionEnd::stray
        : unread == UnreadInput::end ? record::ConnectionEnd::by_host
                                     : record::ConnectionEnd::idle);
}

void Upstream::Connection::start_idle(Time idle) {
  idle_since_ = steady_now();
  timer_.expires_after(idle);
  await_idle_timeout();
}

void Upstream::Connection::await_idle_timeout() {
  timer_.async_wait([self = shared_from_this()](asio::error_code e) {
    if (e || self->has_call_ || !self->socket_.is_open()) return;
    self->pool_.remove_idle(*self);
    self->close(record::ConnectionEnd::idle);
  });
}

void Upstream::Connection::set_call(StartCall call) {
  call_ = std::move(call);
  address_ = call_.address.text();
  has_call_ = true;
  call_started_ = call_written_ = answer_started_ = local_shortage_ = false;
  pending_end_ = PendingEnd::none;
  skipped_answers_ = 0;
  answer_matched_ = reconnected_ = false;
  requests_close_ = pairing_.must_request_close() || !pool_.honors_close(host_);
  answer_.reset();
  out_.clear();
  deadline_ = std::chrono::steady_clock::now() + std::max(call_.timeout, Time(1000));
  start_deadline_ = call_.begin_within == Time::max() ? Time::max() : steady_now() + call_.begin_within;
  const auto budget = std::max<Time::rep>(1, call_.timeout.count() / 1000);
  const std::string key_line =
      call_.idempotency_key.empty() ? "" : "\r\nIdempotency-Key: " + call_.idempotency_key;
  const std::string close_line = requests_close_ ? "\r\nConnection: close" : "";
  std::string head = "POST /hook HTTP/1.1\r\nHost: " + call_.address.text() + "\r\nX-Call-Id: " + call_.id +
                     key_line + close_line + "\r\nX-Budget-Ms: " + std::to_string(budget) +
                     "\r\nContent-Length: " + std::to_string(call_.body->size()) + "\r\n\r\n";
  out_.append(head);
  out_.append(*call_.body);
}

void Upstream::Connection::arm_timer_at(asio::steady_timer::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this()](asio::error_code e) {
    if (e || !self->has_call_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (self->answer_started_) return self->end_unreadable();
    if (self->local_shortage_) return self->end_local_shortage();
    self->end_call(self->call_written_ ? Outcome::timeout : Outcome::connect_failed);
  });
}

void Upstream::Connection::schedule_end(PendingEnd result) {
  if (pending_end_ != PendingEnd::none) return;
  pending_end_ = result;
  asio::post(pool_.io_, [self = shared_from_this()] { self->end_pending_call(); });
}

void Upstream::Connection::end_pending_call() {
  switch (std::exchange(pending_end_, PendingEnd::none)) {
    case PendingEnd::none:
      return;
    case PendingEnd::connect_failed:
      return end_call(Outcome::connect_failed);
    case PendingEnd::connection_lost:
      return has_call_ ? end_connection_lost() : void();
    case PendingEnd::cancelled_unsent:
      return end_call(Outcome::not_sent);
    case PendingEnd::cancelled:
      return end_call(Outcome::cancelled);
  }
}

int Upstream::Connection::issue_connect() {
  asio::error_code error;
  const auto ip = asio::ip::make_address(call_.address.host, error);
  if (error) return EINVAL;
  const tcp::endpoint to(ip, call_.address.port);
  if (!socket_.is_open()) socket_.open(to.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return error.value();
  const int result = ::connect(socket_.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
  return result == 0 || errno == EINPROGRESS || errno == EINTR ? 0 : errno;  // it completes asynchronously
}

void Upstream::Connection::begin_connect() {
  const int error = issue_connect();
  // A local shortage must not count as a failure of the host. EAGAIN: no local port is available.
  if (classify_socket_error(error) == SocketError::local_shortage || error == EAGAIN) return retry_connect();
  if (error != 0) return schedule_end(PendingEnd::connect_failed);
  local_shortage_ = false;
  await_connected();
}

void Upstream::Connection::retry_connect() {
  local_shortage_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  retry_after_pause([](Connection& self) { self.begin_connect(); });
}

void Upstream::Connection::await_connected() {
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
    if (!self->socket_.is_open() || !self->has_call_ || self->pending_end_ != PendingEnd::none)
      return;  // cancelled
    self->check_connected(e);
  });
}

void Upstream::Connection::check_connected(asio::error_code error) {
  int failure = error.value();
  socklen_t size = sizeof failure;
  if (!error && ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size) != 0) {
    failure = errno;
  }
  if (classify_socket_error(failure) == SocketError::local_shortage) return retry_connect();
  if (failure != 0) return end_call(Outcome::connect_failed);
  // The call must not start after the window in which the partner drops repeats, even if the connection was
  // established late.
  if (steady_now() > start_deadline_) return end_call(Outcome::connect_failed);
  connected_ = true;
  socket_.set_option(tcp::no_delay(true), error);
  arm_timer_at(deadline_);
  begin_call();
}

void Upstream::Connection::begin_call() {
  const UnreadInput unread = peek_unread_input(socket_.native_handle());
  if (unread == UnreadInput::unknown) {
    return retry_after_pause([](Connection& self) { self.begin_call(); });
  }
  if (unread == UnreadInput::bytes) {
    report_stray(record::StrayPlace::before_first_call);
    if (!std::exchange(reconnected_, true)) return retry_connect();  // the call has not started
  }
  if (unread != UnreadInput::none) return end_call(Outcome::connect_failed, true);
  write_pending();
  await_readable();
}

void Upstream::Connection::write_pending() {
  if (!std::exchange(call_started_, true)) {
    pairing_.begin_call(requests_close_);
    pool_.record_.note(record::Kind::carried, call_.stream, static_cast<std::uint16_t>(pairing_.calls()),
                       {connection_number_, requests_close_ ? 1u : 0u});
  }
  asio::error_code error;
  SocketError error_class = SocketError::none;
  while (!out_.empty() && (error_class == SocketError::none || error_class == SocketError::interrupted)) {
    const std::string_view data = out_.data();
    out_.consume(socket_.write_some(asio::buffer(data.data(), data.size()), error));
    error_class = classify_socket_error(error);
  }
  call_written_ = out_.empty();
  if (call_written_) return;
  if (error_class == SocketError::local_shortage) return retry_write();
  if (error_class == SocketError::peer) return schedule_end(PendingEnd::connection_lost);
  await_writable();
}

void Upstream::Connection::retry_write() {
  retry_after_pause([](Connection& self) {
    if (self.socket_.is_open()) self.write_pending();
  });
}

void Upstream::Connection::await_writable() {
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
    if (!self->has_call_ || !self->socket_.is_open()) return;
    if (classify_socket_error(e) == SocketError::peer) return self->end_connection_lost();
    if (e) return self->retry_write();
    self->write_pending();
  });
}

void Upstream::Connection::await_readable() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code e) {
    if (!self->socket_.is_open()) return;
    if (!self->has_call_) return self->on_idle_input();
    self->read_available(e);
  });
}

void Upstream::Connection::read_available(asio::error_code error) {
  std::size_t n = 0;
  if (!error) {
    const std::span<char> space = in_.space();
    n = socket_.read_some(asio::buffer(space.data(), space.size()), error);
  }
  if (!error || error == asio::error::eof) {
    in_.commit(n);
    return process_input(error == asio::error::eof);
  }
  switch (classify_socket_error(error)) {
    case SocketError::interrupted:
    case SocketError::not_ready:
      return await_readable();
    case SocketError::local_shortage:
      return retry_after_pause([](Connection& self) {
        if (self.socket_.is_open()) self.read_available({});
      });
    default:
      return end_connection_lost();
  }
}

void Upstream::Connection::on_idle_input() {
  const UnreadInput unread = check_unread_input();
  pairing_.mark_unusable();
  pool_.remove_idle(*this);
  close_idle(unread);
}

void Upstream::Connection::report_stray(record::StrayPlace place, unsigned status) {
  ++pool_.counters_.strays;
  pool_.record_.note(record::Kind::stray, has_call_ ? call_.stream : 0, static_cast<std::uint16_t>(status),
                     {connection_number_, static_cast<std::uint32_t>(place)}, address_);
  pool_.stray_log_(steady_now(), address_ + ": unsolicited bytes");
}

void Upstream::Connection::process_input(bool end_of_input) {
  // Bounds the time for receiving the rest of an answer once it has started.
  if (!answer_started_ && !in_.empty()) {
    answer_started_ = true;
    arm_timer_at(std::min(deadline_, std::chrono::steady_clock::now() + pool_.config_.limits.answer_timeout));
  }
  while (!in_.empty() && !answer_.done() && !answer_.failed()) {
    in_.consume(answer_.feed(in_.data()));
    if (answer_.done() && !matches_call()) skip_answer();
  }
  if (end_of_input) answer_.end_of_input();
  if (end_of_input && answer_.done() && !matches_call()) skip_answer();
  if (answer_.failed()) return end_unreadable();
  if (answer_.done()) return end_answered(!end_of_input);
  if (end_of_input) return end_connection_lost();
  await_readable();
}

bool Upstream::Connection::matches_call() {
  if (answer_matched_) return true;
  answer_matched_ = !is_interim() && pairing_.match_answer(answer_.has_connection_close());
  return answer_matched_;
}

void Upstream::Connection::skip_answer() {
  if (!is_interim()) report_stray(record::StrayPlace::during_call, answer_.status());
  if (skipped_answers_++ >= pool_.config_.limits.max_interim_answers) return answer_.mark_failed();
  answer_.reset();
  answer_started_ = !in_.empty();
  if (!answer_started_) arm_timer_at(deadline_);
}

bool Upstream::Connection::partial_answer_is_delivered() const {
  const bool matches =
      pairing_.next_answer_matches() || (answer_.head_done() && answer_.has_connection_close());
  return call_written_ && matches && answer_.first_line_has_status(200) && !answer_.has_second_status_line();
}

void Upstream::Connection::end_unreadable() {
  ++pool_.counters_.unreadable_answers;
  if (partial_answer_is_delivered()) return end_call(Outcome::delivered);
  end_call(call_written_ ? Outcome::error : Outcome::connect_failed);
}

void Upstream::Connection::end_connection_lost() {
  if (partial_answer_is_delivered()) return end_call(Outcome::delivered);
  if (skipped_answers_ > 0) record_close_behavior(false);
  end_call(call_written_ ? Outcome::reset : Outcome::connect_failed, connected_);
}

void Upstream::Connection::record_close_behavior(bool closes) {
  if (requests_close_ && !retired_) pool_.set_honors_close(host_, closes);
}

bool Upstream::Connection::has_conflicting_answer(const AnswerMeaning& meaning) const {
  if (in_.empty() || answer_.has_connection_close()) return false;
  if (answer_.has_second_status_line()) return true;
  HttpReader following(HttpReader::Kind::response, pool_.config_.limits.max_head_size,
                       pool_.config_.limits.max_body_size);
  following.feed(in_.data());
  return following.head_done() && !following.failed() &&
         interpret_answer(following).outcome != meaning.outcome;
}

void Upstream::Connection::end_answered(bool still_open) {
  record_close_behavior(answer_.has_connection_close());
  if (!in_.empty()) report_stray(record::StrayPlace::behind_answer);
  AnswerMeaning meaning = interpret_answer(answer_);
  if (!meaning.recognized) ++pool_.counters_.unreadable_answers;
  const bool too_early = !call_written_ && meaning.outcome == Outcome::delivered;
  if (too_early || has_conflicting_answer(meaning)) meaning = AnswerMeaning{};  // it may have run
  const bool keep = still_open && meaning.recognized && call_written_ && in_.empty() &&
                    pairing_.can_start_call() && answer_.keep_alive() && !retired_;
  CallEnded ended{call_.stream,
                  call_.attempt,
                  meaning.outcome,
                  meaning.ended_elsewhere,
                  meaning.retry_after,
                  meaning.no_slot,
                  {},
                  false,
                  idle_before_call_};
  if (const auto text = answer_.header("x-load-report"))
    ended.report = parse_load_report(*text, pool_.config_.boot);
  // A host that limits connections closes excess ones at once. Such an answer says nothing about load, so it
  // must not be taken for a limit on calls.
  ended.connection_only =
      meaning.outcome == Outcome::full && !requests_close_ && !answer_.keep_alive() && !ended.report.present;
  ended.connection_closed = !keep;
  ended.close_requested = requests_close_;
  if (keep) {
    release_call();
    pool_.add_idle(shared_from_this());
    await_readable();
  }
  finish_call(ended, keep);
}

void Upstream::Connection::end_local_shortage() {
  finish_call(
      CallEnded{call_.stream, call_.attempt, Outcome::not_sent, false, Time(0), true, {}, false, Time(0)},
      false);
}

void Upstream::Connection::end_call(Outcome outcome, bool connection_only) {
  if (!has_call_) return;
  finish_call(CallEnded{call_.stream,
                        call_.attempt,
                        outcome,
                        false,
                        Time(0),
                        false,
                        {},
                        connection_only,
                        idle_before_call_},
              false);
}

void Upstream::Connection::release_call() {
  has_call_ = false;
  timer_.cancel();
  pool_.active_calls_.erase(call_.stream);
  call_.body.reset();
  answer_.take_body();
}

void Upstream::Connection::finish_call(const CallEnded& ended, bool kept) {
  if (!kept) {
    release_call();
    // Before the next attempt can start.
    close(in_.empty() && answer_matched_ ? record::ConnectionEnd::last_answer
          : answer_matched_              ? record::ConnectionEnd::stray
                                         : record::ConnectionEnd::call_failed);
  }
  pool_.report_call_ended(ended);
}

}  // namespace fennellane
