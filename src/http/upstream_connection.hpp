// A part of Upstream, for its own files alone: one connection to a host, with the call that is out on it.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "answer_meaning.hpp"
#include "answer_pairing.hpp"
#include "clock.hpp"
#include "descriptor.hpp"
#include "http.hpp"
#include "http_snapshot.hpp"
#include "ring_buffer.hpp"
#include "run_after.hpp"
#include "unread_input.hpp"
#include "upstream.hpp"

namespace fennellane {

// One connection to an upstream host. While it is open it is always waited on for reading, so that its end is
// seen at once, also between calls. No operation that is under way connects, writes or reads by itself: see
// Downstream::Session.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& pool, HostId host);
  ~Connection() { --*connection_count_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  HostId host() const { return host_; }
  Time idle_since() const { return idle_since_; }
  Time idle_duration() const { return steady_now() - idle_since_; }
  void connect(StartCall call);
  bool has_call() const { return has_call_; }
  StreamId stream() const { return call_.stream; }

  template <class Archive>
  void serialize_state(Archive& archive) {
    auto expiry = timer_.expiry();
    archive(expiry, idle_since_, idle_before_call_, connected_, has_call_, retired_, pairing_, address_);
    if (Archive::is_loading::value) timer_.expires_at(expiry);
    if (!has_call_) return;
    // All of the call but its body: that is in the ring, or gone out.
    archive(call_.stream, call_.attempt, call_.address, call_.id, call_.timeout, deadline_, start_deadline_,
            call_started_, call_written_, answer_started_, requests_close_, skipped_answers_, pending_end_,
            in_, out_);
    answer_.serialize_state(archive);
  }
  void adopt_socket(FileDescriptor fd);
  // -1: there is none.
  int descriptor() { return socket_.is_open() ? socket_.native_handle() : -1; }
  void resume();
  void reuse(StartCall call);

  // What a resting one holds now: the read that is out may not have told yet that the other side has closed,
  // or that bytes have come. Strays are counted.
  UnreadInput check_unread_input();
  bool can_reuse(UnreadInput seen) const { return seen == UnreadInput::none && pairing_.can_start_call(); }
  void cancel(const CancelCall& c);
  // At once, since the connection may come up before the loop's next turn; the call ends in that turn.
  void hold_back(const CancelUnsentCall& c);
  void retire() { retired_ = true; }
  void close(record::ConnectionEnd why);
  // Of a resting one that can carry no other call, or whose time is over.
  void close_idle(UnreadInput seen);
  void start_idle(Time idle);

 private:
  void await_idle_timeout();
  void set_call(StartCall call);

  void arm_timer(Time limit) { arm_timer_at(std::chrono::steady_clock::now() + limit); }
  void arm_timer_at(asio::steady_timer::time_point at);

  // What ends the call in the loop's next turn, never before the one who started it returns. The first such
  // end is the one.
  enum class PendingEnd : std::uint8_t { none, connect_failed, connection_lost, held_back, cancelled };
  void schedule_end(PendingEnd due);
  void end_pending_call();

  // The errno of a connect that has begun, or 0.
  int issue_connect();
  void begin_connect();
  void retry_connect();
  // For an operation of this call that failed for want of something here.
  template <class Action>
  void retry_after_pause(Action action) {
    ++pool_.counters_.local_retries;
    run_after(pool_.io_, pool_.config_.limits.local_retry_delay,
              [self = shared_from_this(), action, stream = call_.stream, attempt = call_.attempt] {
                const bool same = self->call_.stream == stream && self->call_.attempt == attempt;
                if (self->has_call_ && same && self->pending_end_ == PendingEnd::none) action(*self);
              });
  }

  void await_connected();
  void check_connected(asio::error_code error);
  void begin_call();

  void write_pending();
  void retry_write();
  void await_writable();

  // Waits first and reads then. Guards against bytes that came behind an answer being taken off the socket
  // while the connection is idle, unseen by closed(), and read as the answer to its next call.
  void await_readable();
  void read_available(asio::error_code error);

  // Guards against bytes that no call asked for being read as the answer to the next one.
  void on_idle_input();
  // `status`: of a whole answer; 0 of bytes that were not read as one.
  void report_stray(record::StrayPlace place, unsigned status = 0);
  void process_input(bool ended);

  bool is_interim() const { return answer_.status() >= 100 && answer_.status() < 200; }
  // Of a whole answer.
  bool matches_call();
  // An interim answer, or one that is not this call's: the call's own is still to come, and there may be only
  // so many before it.
  void skip_answer();

  // Of an answer that is not there to its end: whether it is the call's own and no other's with it, and its
  // first line tells that the message is delivered.
  bool partial_answer_is_delivered() const;

  // An answer that cannot be read to its end. Where its first line told that the message is delivered, that
  // is true; any other tells nothing, so the call may have run, whatever its head said.
  void end_unreadable();

  // The connection ended in the middle. Before the call's last byte was written it cannot have run.
  void end_connection_lost();

  // Nothing is kept of a host that is gone.
  void record_close_behavior(bool says);

  // Whether another answer stands in the one that was read, or right behind it, and means something else.
  // Either may be the call's, unless the first is marked as such.
  bool has_conflicting_answer(const AnswerMeaning& read) const;

  // By its own answer. Before its last byte was written the call cannot have run, so a 200 is no answer to
  // it.
  void end_answered(bool open);

  // It could not even begin, and the host has nothing to do with it.
  void end_local_shortage();
  void end_call(starlinghook::Outcome outcome, bool connection_only = false);
  void release_call();
  void finish_call(const CallEnded& ended, bool kept);

  Upstream& pool_;
  const std::shared_ptr<std::size_t> connection_count_;
  const HostId host_;
  const std::uint32_t connection_number_;
  const Time opened_at_;
  std::string address_;  // the host's
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader answer_;
  AnswerPairing pairing_;
  StartCall call_;
  asio::steady_timer::time_point deadline_;
  Time start_deadline_ = Time::max();  // the call's first byte
  Time idle_since_{};
  Time idle_before_call_{};  // before the call; 0 = it came up for it
  bool connected_ = false;   // it did come up
  bool has_call_ = false;
  PendingEnd pending_end_ = PendingEnd::none;
  bool retired_ = false;       // closes after its call
  bool call_started_ = false;  // a byte of the call may be on its way
  bool call_written_ = false;
  bool answer_started_ = false;   // a byte of the answer has come
  bool local_shortage_ = false;   // there is no connection yet for want of something here
  bool requests_close_ = false;   // of the connection, behind the call
  bool reconnected_ = false;      // for a connection that had bytes on it before the call
  bool answer_matched_ = false;   // the whole answer that stands in `answer_` is the call's
  unsigned skipped_answers_ = 0;  // answers that were not the call's
};

}  // namespace fennellane
