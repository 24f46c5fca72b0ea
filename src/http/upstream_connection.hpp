// Implementation detail of Upstream: one connection to a host, with the call in flight on it.
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

// One connection to an upstream host. While it is open there is always a pending wait for readability, so
// that its end is noticed at once, also between calls. No pending asynchronous operation connects, writes or
// reads by itself: see Downstream::Session.
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
    // Everything of the call but its body, which is in the ring buffer or already sent.
    archive(call_.stream, call_.attempt, call_.address, call_.id, call_.timeout, deadline_, start_deadline_,
            call_started_, call_written_, answer_started_, requests_close_, skipped_answers_, pending_end_,
            in_, out_);
    answer_.serialize_state(archive);
  }
  void adopt_socket(FileDescriptor fd);
  // -1 if there is none.
  int descriptor() { return socket_.is_open() ? socket_.native_handle() : -1; }
  void resume();
  void reuse(StartCall call);

  // Checks an idle connection's unread input directly: the pending wait may not have reported yet that the
  // host closed the connection or sent bytes. Counts unsolicited bytes.
  UnreadInput check_unread_input();
  bool can_reuse(UnreadInput unread) const {
    return unread == UnreadInput::none && pairing_.can_start_call();
  }
  void cancel(const CancelCall& call);
  // Takes effect at once, since the connection may be established before the loop's next turn; the call ends
  // in that turn.
  void cancel_unsent(const CancelUnsentCall& call);
  void retire() { retired_ = true; }
  void close(record::ConnectionEnd reason);
  // Closes an idle connection that cannot carry another call or has been idle for too long.
  void close_idle(UnreadInput unread);
  void start_idle(Time idle);

 private:
  void await_idle_timeout();
  void set_call(StartCall call);

  void arm_timer(Time limit) { arm_timer_at(std::chrono::steady_clock::now() + limit); }
  void arm_timer_at(asio::steady_timer::time_point at);

  // How the call ends in the loop's next turn; never before the function that started it returns. The first
  // such result wins.
  enum class PendingEnd : std::uint8_t { none, connect_failed, connection_lost, cancelled_unsent, cancelled };
  void schedule_end(PendingEnd result);
  void end_pending_call();

  // Issues the connect and returns 0 if it has started or completed, else the errno.
  int issue_connect();
  void begin_connect();
  void retry_connect();
  // Repeats an operation of this call that failed because of a local shortage.
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

  // Waits for readability first and reads in the handler. Otherwise bytes that follow an answer could be
  // taken off the socket while the connection is idle, unseen by check_unread_input(), and be read as the
  // answer to the next call.
  void await_readable();
  void read_available(asio::error_code error);

  // Closes an idle connection that received input, so that unsolicited bytes are not read as the answer to
  // the next call.
  void on_idle_input();
  // `status`: of a complete answer; 0 for bytes that did not parse as one.
  void report_stray(record::StrayPlace place, unsigned status = 0);
  void process_input(bool end_of_input);

  bool is_interim() const { return answer_.status() >= 100 && answer_.status() < 200; }
  // Requires a complete answer.
  bool matches_call();
  // Skips an interim answer, or one that does not belong to this call: the call's own is still to come. The
  // number of skipped answers is limited.
  void skip_answer();

  // For an incomplete answer: whether it belongs to this call, is not mixed with another answer, and its
  // status line says that the message was delivered.
  bool partial_answer_is_delivered() const;

  // Ends the call after an unreadable answer. If its status line said that the message was delivered, that
  // counts; any other status is not relied on, so the call may have run.
  void end_unreadable();

  // Ends the call after the connection was lost. If the call's last byte was not written, it cannot have run.
  void end_connection_lost();

  // Records nothing for a host that was removed.
  void record_close_behavior(bool closes);

  // Whether the received answer contains, or is followed by, another answer with a different meaning. Either
  // may belong to the call, unless the first says `Connection: close`.
  bool has_conflicting_answer(const AnswerMeaning& meaning) const;

  // Ends the call by its own answer. Before its last byte is written the call cannot have run, so a 200 does
  // not count then.
  void end_answered(bool still_open);

  // Ends a call that could not start because of a local shortage, for which the host is not responsible.
  void end_local_shortage();
  void end_call(starlinghook::Outcome outcome, bool connection_only = false);
  void release_call();
  void finish_call(const CallEnded& ended, bool kept);

  Upstream& pool_;
  const std::shared_ptr<std::size_t> connection_count_;
  const HostId host_;
  const std::uint32_t connection_number_;
  const Time opened_at_;
  std::string address_;  // of the host
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader answer_;
  AnswerPairing pairing_;
  StartCall call_;
  asio::steady_timer::time_point deadline_;
  Time start_deadline_ = Time::max();  // for writing the call's first byte
  Time idle_since_{};
  Time idle_before_call_{};  // 0 if the connection was opened for it
  bool connected_ = false;
  bool has_call_ = false;
  PendingEnd pending_end_ = PendingEnd::none;
  bool retired_ = false;       // closes after its call
  bool call_started_ = false;  // a byte of the call may have been sent
  bool call_written_ = false;
  bool answer_started_ = false;   // a byte of the answer has arrived
  bool local_shortage_ = false;   // not connected yet because of a local shortage
  bool requests_close_ = false;   // the call asks the host to close the connection afterwards
  bool reconnected_ = false;      // because unsolicited bytes preceded the call
  bool answer_matched_ = false;   // the complete answer in `answer_` belongs to the call
  unsigned skipped_answers_ = 0;  // answers that did not belong to the call
};

}  // namespace fennellane
