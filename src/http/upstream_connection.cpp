#include "upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <cerrno>
#include <span>
#include <utility>

#include "adopted.hpp"
#include "socket_error.hpp"

namespace fennellane {

using asio::ip::tcp;
using starlinghook::Outcome;

Upstream::Connection::Connection(Upstream& pool, HostId host)
    : pool_(pool),
      count_(pool.connections_),
      host_(host),
      number_(++pool.last_connection_),
      opened_(steady_now()),
      socket_(pool.io_),
      timer_(pool.io_),
      in_(pool.config_.limits.read_ring),
      out_(pool.config_.limits.call_ring),
      answer_(HttpReader::Kind::response, pool.config_.limits.head, pool.config_.limits.body) {
  ++*count_;
}

void Upstream::Connection::connect(StartCall call) {
  take(std::move(call));
  ++pool_.counters_.connects;
  arm(std::min({pool_.config_.limits.connect, call_.timeout, call_.begin_within}));
  begin_connecting();
}

void Upstream::Connection::adopt_socket(FileDescriptor fd) { adopt(socket_, std::move(fd)); }

void Upstream::Connection::resume() {
  if (!busy_) {
    await_rested();
    return read();
  }
  if (due_ != Due::nothing) asio::post(pool_.io_, [self = shared_from_this()] { self->end_due(); });
  if (due_ != Due::nothing && !socket_.is_open()) return;
  arm_at(timer_.expiry());
  if (!socket_.is_open()) return begin_connecting();
  if (!up_) return await_connected();
  if (!out_.empty()) await_room();
  read();
}

void Upstream::Connection::reuse(StartCall call) {
  take(std::move(call));
  idle_ = std::max(Time(1), steady_now() - idle_since_);
  ++pool_.counters_.reused;
  arm_at(deadline_);
  write();
}

UnreadInput Upstream::Connection::look() {
  const UnreadInput unread = unread_input(socket_.native_handle());
  if (unread == UnreadInput::bytes) note_stray(record::StrayPlace::resting);
  return unread;
}

void Upstream::Connection::give_up(const CancelCall& c) {
  if (busy_ && call_.stream == c.stream && call_.attempt == c.attempt) later(Due::cancelled);
}

void Upstream::Connection::hold_back(const HoldBack& c) {
  if (!busy_ || started_ || call_.stream != c.stream || call_.attempt != c.attempt) return;
  later(Due::held_back);
}

void Upstream::Connection::close(record::ConnectionEnd why) {
  if (!socket_.is_open()) return;
  asio::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  pool_.record_.note(record::Kind::host_connection, number_, static_cast<std::uint16_t>(why),
                     {pairing_.calls(), record::ms32(steady_now() - opened_)}, address_);
}

void Upstream::Connection::close_rested(UnreadInput seen) {
  close(seen == UnreadInput::bytes ? record::ConnectionEnd::stray
        : seen == UnreadInput::end ? record::ConnectionEnd::by_host
                                   : record::ConnectionEnd::idle);
}

void Upstream::Connection::rest(Time idle) {
  idle_since_ = steady_now();
  timer_.expires_after(idle);
  await_rested();
}

void Upstream::Connection::await_rested() {
  timer_.async_wait([self = shared_from_this()](asio::error_code e) {
    if (e || self->busy_ || !self->socket_.is_open()) return;
    self->pool_.forget_idle(*self);
    self->close(record::ConnectionEnd::idle);
  });
}

void Upstream::Connection::take(StartCall call) {
  call_ = std::move(call);
  address_ = call_.address.text();
  busy_ = true;
  started_ = written_ = answering_ = short_ = false;
  due_ = Due::nothing;
  passed_over_ = 0;
  own_ = connected_again_ = false;
  asks_close_ = pairing_.must_ask_close() || !pool_.says_close(host_);
  answer_.reset();
  out_.clear();
  deadline_ = std::chrono::steady_clock::now() + std::max(call_.timeout, Time(1000));
  begin_by_ = call_.begin_within == Time::max() ? Time::max() : steady_now() + call_.begin_within;
  const auto budget = std::max<Time::rep>(1, call_.timeout.count() / 1000);
  const std::string key_line =
      call_.idempotency_key.empty() ? "" : "\r\nIdempotency-Key: " + call_.idempotency_key;
  const std::string close_line = asks_close_ ? "\r\nConnection: close" : "";
  std::string head = "POST /hook HTTP/1.1\r\nHost: " + call_.address.text() + "\r\nX-Call-Id: " + call_.id +
                     key_line + close_line + "\r\nX-Budget-Ms: " + std::to_string(budget) +
                     "\r\nContent-Length: " + std::to_string(call_.body->size()) + "\r\n\r\n";
  out_.append(head);
  out_.append(*call_.body);
}

void Upstream::Connection::arm_at(asio::steady_timer::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this()](asio::error_code e) {
    if (e || !self->busy_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
    if (self->answering_) return self->spoilt();
    if (self->short_) return self->end_short();
    self->end(self->written_ ? Outcome::timeout : Outcome::connect_failed);
  });
}

void Upstream::Connection::later(Due due) {
  if (due_ != Due::nothing) return;
  due_ = due;
  asio::post(pool_.io_, [self = shared_from_this()] { self->end_due(); });
}

void Upstream::Connection::end_due() {
  switch (std::exchange(due_, Due::nothing)) {
    case Due::nothing:
      return;
    case Due::connect_failed:
      return end(Outcome::connect_failed);
    case Due::broken:
      return busy_ ? broken() : void();
    case Due::held_back:
      return end(Outcome::not_sent);
    case Due::cancelled:
      return end(Outcome::cancelled);
  }
}

int Upstream::Connection::connect_now() {
  asio::error_code error;
  const auto ip = asio::ip::make_address(call_.address.host, error);
  if (error) return EINVAL;
  const tcp::endpoint to(ip, call_.address.port);
  if (!socket_.is_open()) socket_.open(to.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return error.value();
  const int result = ::connect(socket_.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
  return result == 0 || errno == EINPROGRESS || errno == EINTR ? 0 : errno;  // it goes on by itself
}

void Upstream::Connection::begin_connecting() {
  const int error = connect_now();
  // Guards the host against being taken for failing where this machine was short of something. EAGAIN: of
  // ports.
  if (sort_socket_error(error) == SocketError::local_shortage || error == EAGAIN) return connect_again();
  if (error != 0) return later(Due::connect_failed);
  short_ = false;
  await_connected();
}

void Upstream::Connection::connect_again() {
  short_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  after_pause([](Connection& self) { self.begin_connecting(); });
}

void Upstream::Connection::await_connected() {
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
    if (!self->socket_.is_open() || !self->busy_ || self->due_ != Due::nothing) return;  // given up
    self->look_whether_connected(e);
  });
}

void Upstream::Connection::look_whether_connected(asio::error_code error) {
  int failure = error.value();
  socklen_t size = sizeof failure;
  if (!error && ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size) != 0) {
    failure = errno;
  }
  if (sort_socket_error(failure) == SocketError::local_shortage) return connect_again();
  if (failure != 0) return end(Outcome::connect_failed);
  // Guards the window in which repeats are dropped against a connection that comes up behind its end.
  if (steady_now() > begin_by_) return end(Outcome::connect_failed);
  up_ = true;
  socket_.set_option(tcp::no_delay(true), error);
  arm_at(deadline_);
  begin_call();
}

void Upstream::Connection::begin_call() {
  const UnreadInput unread = unread_input(socket_.native_handle());
  if (unread == UnreadInput::unknown) {
    return after_pause([](Connection& self) { self.begin_call(); });
  }
  if (unread == UnreadInput::bytes) {
    note_stray(record::StrayPlace::before_first_call);
    if (!std::exchange(connected_again_, true)) return connect_again();  // the call has not begun
  }
  if (unread != UnreadInput::none) return end(Outcome::connect_failed, true);
  write();
  read();
}

void Upstream::Connection::write() {
  if (!std::exchange(started_, true)) {
    pairing_.begin_call(asks_close_);
    pool_.record_.note(record::Kind::carried, call_.stream, static_cast<std::uint16_t>(pairing_.calls()),
                       {number_, asks_close_ ? 1u : 0u});
  }
  asio::error_code error;
  SocketError sorted = SocketError::none;
  while (!out_.empty() && (sorted == SocketError::none || sorted == SocketError::interrupted)) {
    const std::string_view data = out_.data();
    out_.consume(socket_.write_some(asio::buffer(data.data(), data.size()), error));
    sorted = sort_socket_error(error);
  }
  written_ = out_.empty();
  if (written_) return;
  if (sorted == SocketError::local_shortage) return write_again();
  if (sorted == SocketError::peer) return later(Due::broken);
  await_room();
}

void Upstream::Connection::write_again() {
  after_pause([](Connection& self) {
    if (self.socket_.is_open()) self.write();
  });
}

void Upstream::Connection::await_room() {
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
    if (!self->busy_ || !self->socket_.is_open()) return;
    if (sort_socket_error(e) == SocketError::peer) return self->broken();
    if (e) return self->write_again();
    self->write();
  });
}

void Upstream::Connection::read() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code e) {
    if (!self->socket_.is_open()) return;
    if (!self->busy_) return self->drop_idle();
    self->read_now(e);
  });
}

void Upstream::Connection::read_now(asio::error_code error) {
  std::size_t n = 0;
  if (!error) {
    const std::span<char> space = in_.space();
    n = socket_.read_some(asio::buffer(space.data(), space.size()), error);
  }
  if (!error || error == asio::error::eof) {
    in_.commit(n);
    return heard(error == asio::error::eof);
  }
  switch (sort_socket_error(error)) {
    case SocketError::interrupted:
    case SocketError::not_ready:
      return read();
    case SocketError::local_shortage:
      return after_pause([](Connection& self) {
        if (self.socket_.is_open()) self.read_now({});
      });
    default:
      return broken();
  }
}

void Upstream::Connection::drop_idle() {
  const UnreadInput seen = look();
  pairing_.spend();
  pool_.forget_idle(*this);
  close_rested(seen);
}

void Upstream::Connection::note_stray(record::StrayPlace place, unsigned status) {
  ++pool_.counters_.strays;
  pool_.record_.note(record::Kind::stray, busy_ ? call_.stream : 0, static_cast<std::uint16_t>(status),
                     {number_, static_cast<std::uint32_t>(place)}, address_);
  pool_.stray_log_(steady_now(), address_ + ": bytes that answer no call");
}

void Upstream::Connection::heard(bool ended) {
  // Guards against an answer that begins and does not end: it has a short time of its own.
  if (!answering_ && !in_.empty()) {
    answering_ = true;
    arm_at(std::min(deadline_, std::chrono::steady_clock::now() + pool_.config_.limits.answer_rest));
  }
  while (!in_.empty() && !answer_.done() && !answer_.failed()) {
    in_.consume(answer_.feed(in_.data()));
    if (answer_.done() && !is_own_answer()) pass_over();
  }
  if (ended) answer_.end_of_input();
  if (ended && answer_.done() && !is_own_answer()) pass_over();
  if (answer_.failed()) return spoilt();
  if (answer_.done()) return answered(!ended);
  if (ended) return broken();
  read();
}

bool Upstream::Connection::is_own_answer() {
  if (own_) return true;
  own_ = !interim() && pairing_.is_own(answer_.says_close());
  return own_;
}

void Upstream::Connection::pass_over() {
  if (!interim()) note_stray(record::StrayPlace::during_call, answer_.status());
  if (passed_over_++ >= pool_.config_.limits.interim_answers) return answer_.refuse();
  answer_.reset();
  answering_ = !in_.empty();
  if (!answering_) arm_at(deadline_);
}

bool Upstream::Connection::begins_as_delivered() const {
  const bool own = pairing_.next_is_own() || (answer_.head_done() && answer_.says_close());
  return written_ && own && answer_.first_line_says(200) && !answer_.holds_another_answer();
}

void Upstream::Connection::spoilt() {
  ++pool_.counters_.spoilt;
  if (begins_as_delivered()) return end(Outcome::delivered);
  end(written_ ? Outcome::error : Outcome::connect_failed);
}

void Upstream::Connection::broken() {
  if (begins_as_delivered()) return end(Outcome::delivered);
  if (passed_over_ > 0) note_says_close(false);
  end(written_ ? Outcome::reset : Outcome::connect_failed, up_);
}

void Upstream::Connection::note_says_close(bool says) {
  if (asks_close_ && !retired_) pool_.note_says_close(host_, says);
}

bool Upstream::Connection::is_contradicted(const AnswerMeaning& read) const {
  if (in_.empty() || answer_.says_close()) return false;
  if (answer_.holds_another_answer()) return true;
  HttpReader behind(HttpReader::Kind::response, pool_.config_.limits.head, pool_.config_.limits.body);
  behind.feed(in_.data());
  return behind.head_done() && !behind.failed() && meaning(behind).outcome != read.outcome;
}

void Upstream::Connection::answered(bool open) {
  note_says_close(answer_.says_close());
  if (!in_.empty()) note_stray(record::StrayPlace::behind_answer);
  AnswerMeaning m = meaning(answer_);
  if (!m.known) ++pool_.counters_.spoilt;
  const bool too_early = !written_ && m.outcome == Outcome::delivered;
  if (too_early || is_contradicted(m)) m = AnswerMeaning{};  // it may have run
  const bool keep =
      open && m.known && written_ && in_.empty() && pairing_.may_call() && answer_.keep_alive() && !retired_;
  CallEnded ended{call_.stream, call_.attempt, m.outcome, m.over, m.told_wait, m.no_slot, {}, false, idle_};
  if (const auto text = answer_.header("x-load-report"))
    ended.report = load_report(*text, pool_.config_.boot);
  // Guards against a host's limit on connections being taken for one on calls: it closes at once what it
  // has no place for, and nobody's load is in that answer.
  ended.connection_only =
      m.outcome == Outcome::full && !asks_close_ && !answer_.keep_alive() && !ended.report.present;
  ended.connection_closed = !keep;
  ended.close_requested = asks_close_;
  if (keep) {
    release();
    pool_.park(shared_from_this());
    read();
  }
  finish(ended, keep);
}

void Upstream::Connection::end_short() {
  finish(CallEnded{call_.stream, call_.attempt, Outcome::not_sent, false, Time(0), true, {}, false, Time(0)},
         false);
}

void Upstream::Connection::end(Outcome outcome, bool connection_only) {
  if (!busy_) return;
  finish(CallEnded{call_.stream, call_.attempt, outcome, false, Time(0), false, {}, connection_only, idle_},
         false);
}

void Upstream::Connection::release() {
  busy_ = false;
  timer_.cancel();
  pool_.calls_.erase(call_.stream);
  call_.body.reset();
  answer_.take_body();
}

void Upstream::Connection::finish(const CallEnded& ended, bool kept) {
  if (!kept) {
    release();
    // Before the next attempt can start.
    close(in_.empty() && own_ ? record::ConnectionEnd::last_answer
          : own_              ? record::ConnectionEnd::stray
                              : record::ConnectionEnd::call_failed);
  }
  pool_.report(ended);
}

}  // namespace fennellane
