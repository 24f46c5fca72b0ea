#include "downstream.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <cerrno>
#include <cstring>
#include <span>
#include <utility>

#include "adopt_socket.hpp"
#include "clock.hpp"
#include "http_snapshot.hpp"
#include "names.hpp"
#include "number.hpp"
#include "ring_buffer.hpp"
#include "run_after.hpp"
#include "socket_error.hpp"

namespace fennellane {

using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxAnswerBytes = 512;  // larger than any answer
constexpr std::size_t kMaxReasonBytes = 200;  // of the reason why the relay is not ready

// Retries an option that must be set, in case of a transient local shortage. If it fails permanently, the
// connection still works, only less well.
template <class Option>
void set_option(tcp::socket& socket, const Option& option) {
  constexpr int kTries = 4;
  asio::error_code error;
  for (int i = 0; i < kTries; ++i) {
    socket.set_option(option, error);
    if (classify_socket_error(error) == SocketError::none ||
        classify_socket_error(error) == SocketError::peer)
      return;
  }
}

bool is_visible_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

// Parses "dest=7", which may stand among other parameters.
std::optional<std::uint64_t> parse_destination(std::string_view text, std::uint64_t max_value) {
  while (!text.empty()) {
    std::string_view part = text.substr(0, text.find_first_of(",;"));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    if (part.starts_with("dest=")) return parse_unsigned(part.substr(5), max_value);
  }
  return std::nullopt;
}

}  // namespace

std::variant<MessageSubmitted, unsigned> parse_message_request(HttpReader& request, const Config& config) {
  constexpr unsigned kBadRequest = 400, kNotFound = 404, kMethodNotAllowed = 405;
  const Limits& limits = config.limits;
  const wire::InstanceSettings& boot = config.boot;
  const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
  const auto path_class = path.starts_with('/') ? find_position(boot.classes, path.substr(1)) : std::nullopt;
  if (!path_class) return kNotFound;
  if (request.method() != "POST") return kMethodNotAllowed;
  const auto message_class = request.header("x-call-class"), id = request.header("x-call-id"),
             tenant = request.header("x-caller"), budget = request.header("x-budget-ms"),
             consignee = request.header("x-consignee");
  if (!message_class || !id || !budget || !consignee) return kBadRequest;
  if (find_position(boot.classes, *message_class) != path_class) return kBadRequest;
  const bool keyed = boot.settings.classes.at(*path_class).effect == starlinghook::Effect::keyed;
  if (id->empty() || id->size() > limits.max_id_size || !is_visible_ascii(*id) || *id == ",")
    return kBadRequest;
  const auto key = request.header("idempotency-key");
  // Without a key the partner could not recognize repeats of the message.
  if (keyed && !key) return kBadRequest;
  if (key && (key->empty() || key->size() > limits.max_idempotency_key_size || !is_visible_ascii(*key) ||
              *key == ","))
    return kBadRequest;
  MessageSubmitted message;
  if (key) message.idempotency_key = *key;
  message.message_class = *path_class;
  if (!boot.tenants.empty()) {
    const auto tenant_index = tenant ? find_position(boot.tenants, *tenant) : std::nullopt;
    if (!tenant_index) return kBadRequest;
    message.tenant = *tenant_index;
  }
  const auto max_ms = std::chrono::duration_cast<std::chrono::milliseconds>(limits.max_budget).count();
  const auto ms = parse_unsigned(*budget, static_cast<std::uint64_t>(max_ms));
  const auto dest = parse_destination(*consignee, limits.max_destination);
  if (!ms || !dest) return kBadRequest;
  message.time_left = std::chrono::milliseconds(*ms);
  message.destination = static_cast<std::uint32_t>(*dest);
  message.id = *id;
  message.body = std::make_shared<const std::string>(request.take_body());
  return message;
}

// No pending asynchronous operation reads, writes or accepts by itself: it only waits until a socket is
// ready, and the handler then uses the socket. Between two handlers the fields therefore reflect exactly what
// was read and written, and another process can continue from them.
class Downstream::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Downstream& owner, tcp::socket socket, RequestHandle id)
      : owner_(owner),
        limits_(owner.config_.limits),
        session_id_(id),
        socket_(std::move(socket)),
        timer_(owner.io_),
        in_(limits_.read_ring_size),
        out_(limits_.answer_ring_size),
        request_(HttpReader::Kind::request, limits_.max_head_size, limits_.max_body_size) {}

  void start() {
    arm_timer(limits_.request_timeout);
    await_readable();
  }

  Time state_since() const { return std::chrono::duration_cast<Time>(state_since_.time_since_epoch()); }
  bool is_lingering() const { return lingering_; }
  int descriptor() { return socket_.native_handle(); }
  template <class Archive>
  void serialize_state(Archive& archive) {
    auto expiry = timer_.expiry();
    archive(in_, out_, state_since_, expiry, request_received_, submitted_message_, input_ended_, closing_,
            lingering_, write_failed_);
    request_.serialize_state(archive);
    if (Archive::is_loading::value) timer_.expires_at(expiry);
  }
  void resume() {
    if (lingering_) {
      await_linger_timeout();
    } else {
      arm_timer_at(timer_.expiry());
    }
    process_input();
  }

  // Whether the connection is between requests, judging by the input read so far.
  bool is_between_requests() const { return !closing_ && !request_.started() && in_.empty() && out_.empty(); }
  // Whether, in addition, no unread input is waiting on the socket.
  bool is_idle() const { return is_between_requests() && !has_unread_input(); }
  bool has_unread_input() const {
    asio::error_code ignored;
    return socket_.available(ignored) > 0;
  }
  // Reports the session's state to the connection table; called after anything that may have changed it.
  void update_connection_table() {
    admission::ConnectionTable& table = owner_.connection_table_;
    if (lingering_) return table.mark_closing(session_id_, steady_now());
    if (closing_ || yielded_ || !out_.empty()) return table.mark_busy(session_id_);
    if (!is_between_requests()) return table.request_started(session_id_, steady_now());
    if (!idle_reported_ && request_received_) table.mark_idle(session_id_, steady_now(), submitted_message_);
    idle_reported_ = true;
  }

  // Appends the answer to the ring buffer and writes as much of it as the socket takes at once, so that it
  // leaves before the relay's next action.
  void answer(unsigned status, std::string_view more_headers = {},
              AdmissionOutcome admission = AdmissionOutcome::malformed, StreamId stream = 0) {
    owner_.record_.note(record::Kind::answered, session_id_, static_cast<std::uint16_t>(status),
                        {static_cast<std::uint32_t>(admission), record::us32(request_wait_),
                         static_cast<std::uint32_t>(stream)});
    if (status != 200 && status != 202 && status != 503) ++owner_.counters_.malformed;
    const bool close = closing_ || owner_.keep_alive_disabled_ || !request_.done() || !request_.keep_alive();
    closing_ = close;
    out_.append(format_answer(status, close, more_headers));
    if (!writing_) write_pending();
  }

  // Shuts down sending. Further input is read and discarded, since closing over unread input would send a
  // reset that could overtake the answer.
  void close_after_linger() {
    closing_ = true;
    if (lingering_) return;
    lingering_ = true;
    state_since_ = std::chrono::steady_clock::now();
    shutdown_send();
    timer_.expires_after(limits_.linger_timeout);
    await_linger_timeout();
    update_connection_table();
  }

  // Closes at once to free the connection slot. An unfinished request gets a 408, if it can be written
  // without blocking.
  void evict() {
    if (request_.started() && !lingering_) answer(408);
    close(CloseReason::evicted);
  }

  void close(CloseReason reason) {
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    if (owner_.sessions_.erase(session_id_) == 0) return;
    owner_.connection_table_.remove(session_id_);
    owner_.record_.note(record::Kind::client, session_id_, static_cast<std::uint16_t>(reason),
                        {record::ms32(elapsed_since(accepted_at_)), request_count_,
                         record::ms32(elapsed_since(state_since_))});
  }

 private:
  void shutdown_send() {
    asio::error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (classify_socket_error(error) != SocketError::local_shortage) return;
    retry_after_pause([](Session& self) { self.shutdown_send(); });
  }
  // Repeats an operation that failed because of a local shortage.
  template <class Action>
  void retry_after_pause(Action action) {
    ++owner_.counters_.local_retries;
    run_after(owner_.io_, limits_.local_retry_delay, [self = shared_from_this(), action] {
      if (self->socket_.is_open()) action(*self);
    });
  }
  void await_request() {
    state_since_ = std::chrono::steady_clock::now();
    idle_reported_ = false;
    if (!output_blocked_) arm_timer(limits_.downstream_idle_timeout);
  }
  void await_linger_timeout() {
    timer_.async_wait([self = shared_from_this()](asio::error_code e) {
      if (!e) self->close(CloseReason::answer_sent);
    });
  }
  void arm_timer(Time limit) { arm_timer_at(std::chrono::steady_clock::now() + limit); }
  void arm_timer_at(std::chrono::steady_clock::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](asio::error_code e) {
      if (e || self->lingering_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      // Closes the connection if the client reads its answers too slowly or not at all, so that it cannot
      // hold the connection forever.
      if (!self->closing_ && !self->out_.empty() &&
          self->bytes_drained_ >= self->limits_.min_linger_progress) {
        return self->restart_drain_timer();
      }
      if (self->closing_ || !self->out_.empty()) return self->close(CloseReason::answer_timeout);
      if (self->is_idle())
        return self->close(self->request_received_ ? CloseReason::idle_timeout
                                                   : CloseReason::request_timeout);
      // An unfinished request must not hold its connection forever.
      if (self->request_.started()) self->answer(408);
      self->flush_then_read();
      if (!self->out_.empty()) return self->arm_timer(self->limits_.linger_timeout);
      self->close_after_linger();
    });
  }

  // Waits for readability first and reads in the handler, so that received bytes stay visible to is_idle()
  // until they are processed. Otherwise a connection could be closed as idle although its request had already
  // been taken off the socket.
  void await_readable() {
    if (reading_ || !socket_.is_open()) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code e) {
      self->reading_ = false;
      if (self->socket_.is_open()) self->read_available(e);
    });
  }
  void read_available(asio::error_code error) {
    if (owner_.reading_stopped_) return;
    std::size_t n = 0;
    if (!error) {
      const std::span<char> space = in_.space();
      n = socket_.read_some(asio::buffer(space.data(), space.size()), error);
    }
    input_ended_ = error == asio::error::eof;
    if (input_ended_ || !error) {
      in_.commit(n);
      return process_input();
    }
    switch (classify_socket_error(error)) {
      case SocketError::interrupted:
      case SocketError::not_ready:
        return await_readable();
      case SocketError::local_shortage:
        reading_ = true;
        return retry_after_pause([](Session& self) {
          self.reading_ = false;
          self.read_available({});
        });
      default:
        return close(CloseReason::client_closed);
    }
  }

  void process_input() {
    if (lingering_) in_.clear();
    unsigned handled = 0;
    while (!in_.empty() && !closing_ && !write_failed_ && has_answer_room()) {
      // Limits the requests handled per turn of the event loop, so that one client that sends many at once
      // does not delay the others.
      if (handled++ == limits_.max_requests_per_turn) {
        yield_to_loop();
        break;
      }
      const bool no_request_before = !request_.started();
      const bool head_done_before = request_.head_done();
      in_.consume(request_.feed(in_.data()));
      if (request_received_ && no_request_before && request_.started() && !request_.done()) {
        state_since_ = std::chrono::steady_clock::now();
        if (!output_blocked_) arm_timer(limits_.request_timeout);
      }
      if (request_.failed()) {
        answer(request_.error_status());
        in_.clear();  // nothing after it is parsed as a request
        arm_timer(limits_.linger_timeout);
        break;
      }
      if (!head_done_before && request_.head_done() && !request_.done() &&
          request_.header("expect") == "100-continue") {
        out_.append("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (request_.done()) {
        ++request_count_;
        request_wait_ = owner_.record_.on() ? request_wait_time() : Time(0);
        handle_request();
        request_.reset();
        request_received_ = true;
        await_request();
      }
    }
    flush_then_read();
  }

  void yield_to_loop() {
    if (std::exchange(yielded_, true)) return;
    asio::post(owner_.io_, [self = shared_from_this()] {
      self->yielded_ = false;
      if (self->socket_.is_open()) self->process_input();
    });
  }

  void handle_request() {
    if (request_.target() == "/up") {
      if (request_.method() != "GET") return answer(405, "Allow: GET\r\n");
      if (owner_.ready_) return answer(200, "", AdmissionOutcome::other);
      return answer(503, "X-Not-Ready: " + owner_.not_ready_reason_ + "\r\n", AdmissionOutcome::other);
    }
    std::variant<MessageSubmitted, unsigned> parsed = parse_message_request(request_, owner_.config_);
    if (const unsigned* status = std::get_if<unsigned>(&parsed)) {
      return answer(*status, *status == 405 ? "Allow: POST\r\n" : "");
    }
    auto& message = std::get<MessageSubmitted>(parsed);
    owner_.record_.note(record::Kind::asked, session_id_, static_cast<std::uint16_t>(message.message_class),
                        {message.tenant, message.destination, record::ms32(message.time_left)}, message.id);
    // Refuses a message whose client disconnected while the request waited to be read: the client sends it
    // again under another id.
    if (client_disconnected()) {
      ++owner_.counters_.refused;
      return answer(503, "", AdmissionOutcome::client_gone);
    }
    message.request = session_id_;
    submitted_message_ = true;
    owner_.on_message_(std::move(message));
  }

  // How long ago the last byte of the request arrived, including time before the connection was accepted.
  Time request_wait_time() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return Time(0);
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
  }
  static Time elapsed_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - start);
  }

  // Whether the client has closed its side or reset the connection, also while input from before is unread.
  bool client_disconnected() {
    if (input_ended_) return true;
    pollfd polled{socket_.native_handle(), POLLRDHUP, 0};
    if (::poll(&polled, 1, 0) > 0) return true;
    // Where poll reports no end of input, the end itself can still be read.
    char byte = 0;
    return in_.empty() && ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  bool has_answer_room() {
    if (out_.room() < kMaxAnswerBytes && !writing_) write_pending();
    return out_.room() >= kMaxAnswerBytes;
  }

  // Writes as much as the socket takes without blocking.
  void write_pending() {
    asio::error_code error;
    SocketError error_class = SocketError::none;
    while (!out_.empty() && (error_class == SocketError::none || error_class == SocketError::interrupted)) {
      const std::string_view data = out_.data();
      const std::size_t n = socket_.write_some(asio::buffer(data.data(), data.size()), error);
      out_.consume(n);
      bytes_drained_ += n;
      error_class = classify_socket_error(error);
    }
    local_shortage_ = error_class == SocketError::local_shortage;
    if (error_class == SocketError::peer) write_failed_ = true;
  }

  void flush_then_read() {
    if (writing_ || !socket_.is_open()) return;
    write_pending();
    if (write_failed_) return close(CloseReason::client_closed);
    if (out_.empty()) {
      if (std::exchange(output_blocked_, false))
        arm_timer(request_.started() ? limits_.request_timeout : limits_.downstream_idle_timeout);
      if (input_ended_) return close(closing_ ? CloseReason::answer_sent : CloseReason::client_closed);
      if (closing_ && !lingering_) close_after_linger();
      return continue_reading();
    }
    await_writable();
    if (!std::exchange(output_blocked_, true)) restart_drain_timer();
    update_connection_table();
  }
  // From now on the client must read the pending answers at a minimum rate.
  void restart_drain_timer() {
    bytes_drained_ = 0;
    arm_timer(limits_.linger_timeout);
  }
  void await_writable() {
    writing_ = true;
    if (local_shortage_) return retry_after_pause([](Session& self) { self.resume_writing(); });
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
      if (!self->socket_.is_open()) return;
      if (classify_socket_error(e) == SocketError::peer) return self->close(CloseReason::client_closed);
      if (e) return self->retry_after_pause([](Session& session) { session.resume_writing(); });
      self->resume_writing();
    });
  }
  void resume_writing() {
    writing_ = false;
    write_pending();
    // Continue with requests that arrived while there was no room for their answers.
    if (!in_.empty() && !closing_) return process_input();
    flush_then_read();
  }
  void continue_reading() {
    if (lingering_) in_.clear();
    if (in_.empty()) await_readable();
    update_connection_table();
    owner_.close_surplus_sessions();  // may close this connection
  }

  Downstream& owner_;
  const Limits& limits_;
  const RequestHandle session_id_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader request_;
  const std::chrono::steady_clock::time_point accepted_at_ =
      std::chrono::steady_clock::now();                               // by this process
  std::chrono::steady_clock::time_point state_since_ = accepted_at_;  // when it entered its present state
  std::uint32_t request_count_ = 0;
  bool submitted_message_ = false;  // at least one message arrived over this connection
  bool idle_reported_ = false;      // since the last request
  Time request_wait_{};             // of the last request; measured only while recording
  bool request_received_ = false;   // at least one whole request has arrived
  std::size_t bytes_drained_ = 0;   // since the last check of the minimum rate
  bool output_blocked_ = false;     // answers are waiting for the client to read them
  bool yielded_ = false;            // the remaining buffered requests are handled in the loop's next turn
  bool reading_ = false;
  bool writing_ = false;
  bool input_ended_ = false;  // the client sends no more
  bool closing_ = false;      // no further request is answered
  bool lingering_ = false;
  bool write_failed_ = false;
  bool local_shortage_ = false;  // the last write failed because of a local shortage
};

Downstream::Downstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
                       record::Recorder& record, OnMessage on_message)
    : io_(io),
      config_(config),
      counters_(counters),
      log_(log),
      record_(record),
      on_message_(std::move(on_message)),
      acceptor_(io),
      pause_timer_(io),
      connection_table_({config.limits.max_downstream_connections, config.limits.max_submitting_connections,
                         config.limits.min_eviction_silence, config.limits.min_eviction_age}) {}
Downstream::~Downstream() = default;

void Downstream::set_not_ready(std::string_view reason) {
  not_ready_reason_ = reason.substr(0, kMaxReasonBytes);
  std::replace_if(
      not_ready_reason_.begin(), not_ready_reason_.end(), [](char c) { return c < ' ' || c > '~'; }, ' ');
}

void Downstream::listen() {
  asio::error_code error;
  const auto ip = asio::ip::make_address(config_.listen.host, error);
  if (error) throw ConfigError("cannot listen on " + config_.listen.text() + ": " + error.message());
  listen_at({ip, config_.listen.port}, steady_now() + config_.limits.startup_wait);
}

bool Downstream::open_listener(const tcp::endpoint& at, asio::error_code& error) {
  acceptor_.open(at.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(at, error);
  if (!error) acceptor_.non_blocking(true, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) return true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  return false;
}

void Downstream::listen_at(const tcp::endpoint& at, Time deadline) {
  asio::error_code error;
  if (open_listener(at, error)) return await_connection();
  const std::string error_text = "cannot listen on " + config_.listen.text() + ": " + error.message();
  const SocketError error_class = classify_socket_error(error);
  if (error_class == SocketError::peer || error_class == SocketError::not_ready || steady_now() >= deadline) {
    throw ListenError(error_text);
  }
  if (!std::exchange(accept_failure_logged_, true)) log_("downstream", error_text);
  pause_timer_.expires_after(config_.limits.accept_backoff);
  pause_timer_.async_wait([this, at, deadline](asio::error_code e) {
    if (!e) listen_at(at, deadline);
  });
}

void Downstream::await_connection() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](asio::error_code error) {
    if (error == asio::error::operation_aborted) return;
    if (error) return pause_accepting();
    accept_batch();
  });
}

// Accepts several connections per turn of the event loop: with only one, new clients would wait too long
// whenever a turn has much work.
void Downstream::accept_batch() {
  for (unsigned i = 0; i < config_.limits.max_accepts_per_turn; ++i) {
    switch (accept_one()) {
      case AcceptResult::accepted:
        break;
      case AcceptResult::none_pending:
        return await_connection();
      case AcceptResult::must_pause:
        return pause_accepting();
    }
  }
  await_connection();
}

// Returns the next connection's descriptor, or none and the errno. Calls accept4 directly: if a client is
// gone before it is accepted, the library's accept would wait for the next client and block the loop.
FileDescriptor Downstream::accept_descriptor(int& error) {
  if (pending_descriptor_.get() >= 0) return std::exchange(pending_descriptor_, FileDescriptor());
  FileDescriptor fd(::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  error = fd.get() < 0 ? errno : 0;
  return fd;
}

Downstream::AcceptResult Downstream::accept_one() {
  int failure = 0;
  FileDescriptor fd = accept_descriptor(failure);
  // This connection is gone, others may be pending.
  if (affects_one_connection(failure)) return AcceptResult::accepted;
  if (classify_socket_error(failure) == SocketError::not_ready) return AcceptResult::none_pending;
  // Pause instead of spinning or exiting when no descriptor is left.
  if (failure != 0) {
    if (!std::exchange(accept_failure_logged_, true))
      log_("downstream", std::string("cannot accept: ") + std::strerror(failure));
    return AcceptResult::must_pause;
  }
  asio::error_code error;
  tcp::socket socket(io_);
  socket.assign(config_.listen.host.find(':') == std::string::npos ? tcp::v4() : tcp::v6(), fd.get(), error);
  if (error) {
    pending_descriptor_ = std::move(fd);
    return AcceptResult::must_pause;
  }
  fd.release();
  socket.non_blocking(true, error);
  return add_session(std::move(socket));
}

Downstream::AcceptResult Downstream::add_session(tcp::socket socket) {
  const bool has_slot = ensure_connection_slot();
  set_option(socket, tcp::no_delay(true));
  // Bounds kernel memory for clients that keep sending requests without reading the answers.
  set_option(socket,
             asio::socket_base::send_buffer_size(static_cast<int>(config_.limits.answer_socket_buffer)));
  ++counters_.client_connections;
  const auto session = std::make_shared<Session>(*this, std::move(socket), next_session_id_++);
  sessions_.emplace(next_session_id_ - 1, session);
  connection_table_.add(next_session_id_ - 1, steady_now());
  session->start();
  if (!has_slot) record_.note(record::Kind::no_place, 0, 0, {static_cast<std::uint32_t>(sessions_.size())});
  return has_slot ? AcceptResult::accepted : AcceptResult::must_pause;
}

void Downstream::close_surplus_sessions() {
  while (const auto id = connection_table_.surplus_idle()) {
    const std::shared_ptr<Session> session = sessions_.at(*id);
    // Do not close over a request that has arrived but is still unread: it is handled first.
    if (session->has_unread_input()) {
      connection_table_.mark_busy(*id);
      continue;
    }
    ++counters_.evicted;
    session->evict();
  }
}

void Downstream::pause_accepting() {
  pause_timer_.expires_after(config_.limits.accept_backoff);
  pause_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    if (ensure_connection_slot()) return accept_batch();
    pause_accepting();
  });
}

// Keeps descriptors available, and protects active clients from those that merely hold connections: when all
// slots are taken, the best eviction candidate is closed.
bool Downstream::ensure_connection_slot() {
  while (!connection_table_.has_room()) {
    const auto id = connection_table_.eviction_candidate(steady_now());
    if (!id) return false;
    const std::shared_ptr<Session> session = sessions_.at(*id);
    // Do not close over a request that has arrived but is still unread: it is handled first.
    if (!session->is_lingering() && session->has_unread_input()) {
      connection_table_.mark_busy(*id);
      continue;
    }
    ++counters_.evicted;
    session->evict();
  }
  return true;
}

void Downstream::answer(const SendAnswer& answer) {
  const auto it = sessions_.find(answer.request);
  if (it == sessions_.end()) return;
  if (answer.reply == AdmissionReply::accepted)
    return it->second->answer(202, "", answer.admission, answer.stream);
  if (answer.reply == AdmissionReply::unknown_destination)
    return it->second->answer(400, "", answer.admission);
  const auto retry_after_s = std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
  it->second->answer(503, retry_after_s > 0 ? "Retry-After: " + std::to_string(retry_after_s) + "\r\n" : "",
                     answer.admission);
}

std::string Downstream::save(OutgoingDescriptors& descriptors) {
  return write_snapshot([&](SnapshotWriter& archive) {
    archive(descriptors.add(acceptor_.native_handle()), next_session_id_, sessions_.size());
    for (const auto& [number, session] : sessions_) {
      archive(number, descriptors.add(session->descriptor()));
      session->serialize_state(archive);
    }
  });
}

void Downstream::load(std::string_view bytes, IncomingDescriptors& descriptors) {
  read_snapshot(bytes, "the clients' connections", [&](SnapshotReader& archive) {
    std::uint32_t listener = 0;
    std::size_t count = 0;
    archive(listener, next_session_id_, count);
    adopt_tcp_socket(acceptor_, descriptors.extract(listener));
    for (; count > 0; --count) {
      RequestHandle number = 0;
      std::uint32_t position = 0;
      archive(number, position);
      tcp::socket socket(io_);
      adopt_tcp_socket(socket, descriptors.extract(position));
      const auto session = std::make_shared<Session>(*this, std::move(socket), number);
      session->serialize_state(archive);
      sessions_.emplace(number, session);
      connection_table_.add(number, session->state_since());
    }
  });
}

void Downstream::resume() {
  await_connection();
  const auto sessions = sessions_;  // a copy, since sessions may end while resuming
  for (const auto& [number, session] : sessions) session->resume();
}

void Downstream::disable_keep_alive() { keep_alive_disabled_ = true; }

void Downstream::stop_reading() {
  reading_stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  pause_timer_.cancel();
}

void Downstream::close_idle() {
  for (const auto& [number, session] : sessions_) {
    if (session->is_idle()) session->close_after_linger();
  }
}

}  // namespace fennellane
