#include "downstream.hpp"

#include <netinet/tcp.h>
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

constexpr std::size_t kMaxAnswerBytes = 512;  // more than the longest answer
constexpr std::size_t kMaxReasonBytes = 200;  // of a reason why the relay is not ready

// Guards an option that has to be in force against a passing shortage. One that fails for good leaves a
// connection that works, only less well.
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

// "dest=7", perhaps among other parts.
std::optional<std::uint64_t> parse_destination(std::string_view text, std::uint64_t most) {
  while (!text.empty()) {
    std::string_view part = text.substr(0, text.find_first_of(",;"));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    if (part.starts_with("dest=")) return parse_unsigned(part.substr(5), most);
  }
  return std::nullopt;
}

}  // namespace

std::variant<MessageSubmitted, unsigned> parse_message_request(HttpReader& request, const Config& config) {
  constexpr unsigned kBad = 400, kNoPath = 404, kNoMethod = 405;
  const Limits& limits = config.limits;
  const wire::InstanceSettings& boot = config.boot;
  const std::string_view path = std::string_view(request.target()).substr(0, request.target().find('?'));
  const auto of_path = path.starts_with('/') ? find_position(boot.classes, path.substr(1)) : std::nullopt;
  if (!of_path) return kNoPath;
  if (request.method() != "POST") return kNoMethod;
  const auto message_class = request.header("x-call-class"), id = request.header("x-call-id"),
             tenant = request.header("x-caller"), budget = request.header("x-budget-ms"),
             consignee = request.header("x-consignee");
  if (!message_class || !id || !budget || !consignee) return kBad;
  if (find_position(boot.classes, *message_class) != of_path) return kBad;
  const bool keyed = boot.settings.classes.at(*of_path).effect == starlinghook::Effect::keyed;
  if (id->empty() || id->size() > limits.max_id_size || !is_visible_ascii(*id) || *id == ",") return kBad;
  const auto key = request.header("idempotency-key");
  // Guards the partner against a message whose repeats it could not tell.
  if (keyed && !key) return kBad;
  if (key && (key->empty() || key->size() > limits.max_idempotency_key_size || !is_visible_ascii(*key) ||
              *key == ","))
    return kBad;
  MessageSubmitted offer;
  if (key) offer.idempotency_key = *key;
  offer.message_class = *of_path;
  if (!boot.tenants.empty()) {
    const auto named = tenant ? find_position(boot.tenants, *tenant) : std::nullopt;
    if (!named) return kBad;
    offer.tenant = *named;
  }
  const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(limits.max_budget).count();
  const auto ms = parse_unsigned(*budget, static_cast<std::uint64_t>(most));
  const auto dest = parse_destination(*consignee, limits.max_destination);
  if (!ms || !dest) return kBad;
  offer.time_left = std::chrono::milliseconds(*ms);
  offer.destination = static_cast<std::uint32_t>(*dest);
  offer.id = *id;
  offer.body = std::make_shared<const std::string>(request.take_body());
  return offer;
}

// No operation that is under way reads, writes or accepts by itself: a socket is waited for, and used in a
// handler. So between two handlers the members say what the socket has seen, and another process can go on
// with both.
class Downstream::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Downstream& owner, tcp::socket socket, RequestHandle number)
      : owner_(owner),
        limits_(owner.config_.limits),
        session_id_(number),
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

  // Between requests, as far as has been read.
  bool is_between_requests() const { return !closing_ && !request_.started() && in_.empty() && out_.empty(); }
  // And none has come that has not been read yet.
  bool is_idle() const { return is_between_requests() && !has_unread_input(); }
  bool has_unread_input() const {
    asio::error_code ignored;
    return socket_.available(ignored) > 0;
  }
  // Tells how it stands, after anything that may have changed it.
  void update_connection_table() {
    admission::ConnectionTable& places = owner_.connection_table_;
    if (lingering_) return places.mark_closing(session_id_, steady_now());
    if (closing_ || yielded_ || !out_.empty()) return places.mark_busy(session_id_);
    if (!is_between_requests()) return places.request_started(session_id_, steady_now());
    if (!idle_reported_ && request_received_) places.mark_idle(session_id_, steady_now(), submitted_message_);
    idle_reported_ = true;
  }

  // Puts the answer into the ring and as much of it on its way as goes at once, so that it leaves before what
  // the relay does next.
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

  // No more is written; what the client still sends is read and dropped, so that no reset overtakes the
  // answer.
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

  // Closes at once, so that the place is free; half a request hears why, if the answer leaves in one piece.
  void evict() {
    if (request_.started() && !lingering_) answer(408);
    close(CloseReason::evicted);
  }

  void close(CloseReason how) {
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    if (owner_.sessions_.erase(session_id_) == 0) return;
    owner_.connection_table_.remove(session_id_);
    owner_.record_.note(record::Kind::client, session_id_, static_cast<std::uint16_t>(how),
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
  // For an operation that failed for want of something here.
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
      // Guards against answers that nobody reads, or too slowly, holding their connection for good.
      if (!self->closing_ && !self->out_.empty() &&
          self->bytes_drained_ >= self->limits_.min_linger_progress) {
        return self->restart_drain_timer();
      }
      if (self->closing_ || !self->out_.empty()) return self->close(CloseReason::answer_timeout);
      if (self->is_idle())
        return self->close(self->request_received_ ? CloseReason::idle_timeout
                                                   : CloseReason::request_timeout);
      // Guards against half a request holding its connection for good.
      if (self->request_.started()) self->answer(408);
      self->flush_then_read();
      if (!self->out_.empty()) return self->arm_timer(self->limits_.linger_timeout);
      self->close_after_linger();
    });
  }

  // Waits first and reads then. Guards against closing as idle a connection whose request the loop has taken
  // off the socket and not yet shown: what has come is seen by idle() until it is processed.
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
      // Guards all others against one that sends many requests at once: it goes on in the loop's next turn.
      if (handled++ == limits_.max_requests_per_turn) {
        yield_to_loop();
        break;
      }
      const bool fresh = !request_.started();
      const bool head = request_.head_done();
      in_.consume(request_.feed(in_.data()));
      if (request_received_ && fresh && request_.started() && !request_.done()) {
        state_since_ = std::chrono::steady_clock::now();
        if (!output_blocked_) arm_timer(limits_.request_timeout);
      }
      if (request_.failed()) {
        answer(request_.error_status());
        in_.clear();  // nothing behind it is read as a request
        arm_timer(limits_.linger_timeout);
        break;
      }
      if (!head && request_.head_done() && !request_.done() && request_.header("expect") == "100-continue") {
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
    std::variant<MessageSubmitted, unsigned> offer = parse_message_request(request_, owner_.config_);
    if (const unsigned* refused = std::get_if<unsigned>(&offer)) {
      return answer(*refused, *refused == 405 ? "Allow: POST\r\n" : "");
    }
    auto& message = std::get<MessageSubmitted>(offer);
    owner_.record_.note(record::Kind::asked, session_id_, static_cast<std::uint16_t>(message.message_class),
                        {message.tenant, message.destination, record::ms32(message.time_left)}, message.id);
    // Guards against taking on what its client has given up while it waited to be read: it comes again under
    // another id.
    if (client_disconnected()) {
      ++owner_.counters_.refused;
      return answer(503, "", AdmissionOutcome::client_gone);
    }
    message.request = session_id_;
    submitted_message_ = true;
    owner_.on_message_(std::move(message));
  }

  // How long the request's last byte has waited here, also before the connection was accepted.
  Time request_wait_time() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return Time(0);
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
  }
  static Time elapsed_since(std::chrono::steady_clock::time_point then) {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - then);
  }

  bool client_disconnected() {
    char byte = 0;
    return input_ended_ ||
           (in_.empty() && ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
  }

  bool has_answer_room() {
    if (out_.room() < kMaxAnswerBytes && !writing_) write_pending();
    return out_.room() >= kMaxAnswerBytes;
  }

  // As much as goes at once.
  void write_pending() {
    asio::error_code error;
    SocketError sorted = SocketError::none;
    while (!out_.empty() && (sorted == SocketError::none || sorted == SocketError::interrupted)) {
      const std::string_view data = out_.data();
      const std::size_t n = socket_.write_some(asio::buffer(data.data(), data.size()), error);
      out_.consume(n);
      bytes_drained_ += n;
      sorted = classify_socket_error(error);
    }
    local_shortage_ = sorted == SocketError::local_shortage;
    if (sorted == SocketError::peer) write_failed_ = true;
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
  // What waits is to be taken at a least rate from now on.
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
      if (e) return self->retry_after_pause([](Session& waiting) { waiting.resume_writing(); });
      self->resume_writing();
    });
  }
  void resume_writing() {
    writing_ = false;
    write_pending();
    // Requests that came while the answers had no room go on now.
    if (!in_.empty() && !closing_) return process_input();
    flush_then_read();
  }
  void continue_reading() {
    if (lingering_) in_.clear();
    if (in_.empty()) await_readable();
    update_connection_table();
    owner_.close_surplus_sessions();  // perhaps this one
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
  std::chrono::steady_clock::time_point state_since_ = accepted_at_;  // it has been as it is
  std::uint32_t request_count_ = 0;
  bool submitted_message_ = false;  // a message, over this connection
  bool idle_reported_ = false;      // that it rests, since its newest request
  Time request_wait_{};             // of the newest request, where that is recorded
  bool request_received_ = false;   // a whole request has come
  std::size_t bytes_drained_ = 0;   // bytes, since the least rate was looked at last
  bool output_blocked_ = false;     // answers wait for the client to take them
  bool yielded_ = false;            // requests that have been read go on in the loop's next turn
  bool reading_ = false;
  bool writing_ = false;
  bool input_ended_ = false;  // the client sends no more
  bool closing_ = false;      // nothing more is answered
  bool lingering_ = false;
  bool write_failed_ = false;
  bool local_shortage_ = false;  // the newest write failed for want of something here
};

Downstream::Downstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
                       record::Recorder& record, OnMessage on_offer)
    : io_(io),
      config_(config),
      counters_(counters),
      log_(log),
      record_(record),
      on_message_(std::move(on_offer)),
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

void Downstream::listen_at(const tcp::endpoint& at, Time give_up_at) {
  asio::error_code error;
  if (open_listener(at, error)) return await_connection();
  const std::string what = "cannot listen on " + config_.listen.text() + ": " + error.message();
  const SocketError sorted = classify_socket_error(error);
  if (sorted == SocketError::peer || sorted == SocketError::not_ready || steady_now() >= give_up_at) {
    throw ListenError(what);
  }
  if (!std::exchange(accept_failure_logged_, true)) log_("downstream", what);
  pause_timer_.expires_after(config_.limits.accept_backoff);
  pause_timer_.async_wait([this, at, give_up_at](asio::error_code e) {
    if (!e) listen_at(at, give_up_at);
  });
}

void Downstream::await_connection() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](asio::error_code error) {
    if (error == asio::error::operation_aborted) return;
    if (error) return pause_accepting();
    accept_batch();
  });
}

// Guards those who come behind many others: one a turn is few, where each turn has much to do.
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

// The next connection's, or none with the errno. Not by the library's own call, which waits for the next
// client where one is gone before it was accepted, and the loop with it.
FileDescriptor Downstream::accept_descriptor(int& error) {
  if (pending_descriptor_.get() >= 0) return std::exchange(pending_descriptor_, FileDescriptor());
  FileDescriptor fd(::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  error = fd.get() < 0 ? errno : 0;
  return fd;
}

Downstream::AcceptResult Downstream::accept_one() {
  int failure = 0;
  FileDescriptor fd = accept_descriptor(failure);
  if (affects_one_connection(failure)) return AcceptResult::accepted;  // that one is gone, another may wait
  if (classify_socket_error(failure) == SocketError::not_ready) return AcceptResult::none_pending;
  // Guards against spinning, or ending, where no descriptor is left.
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
  const bool room = ensure_connection_slot();
  set_option(socket, tcp::no_delay(true));
  // Guards the system's memory against clients that ask on and read nothing.
  set_option(socket,
             asio::socket_base::send_buffer_size(static_cast<int>(config_.limits.answer_socket_buffer)));
  ++counters_.client_connections;
  const auto session = std::make_shared<Session>(*this, std::move(socket), next_session_id_++);
  sessions_.emplace(next_session_id_ - 1, session);
  connection_table_.add(next_session_id_ - 1, steady_now());
  session->start();
  if (!room) record_.note(record::Kind::no_place, 0, 0, {static_cast<std::uint32_t>(sessions_.size())});
  return room ? AcceptResult::accepted : AcceptResult::must_pause;
}

void Downstream::close_surplus_sessions() {
  while (const auto id = connection_table_.surplus_idle()) {
    const std::shared_ptr<Session> session = sessions_.at(*id);
    // Guards against closing on a request that has come and has not been read: it is read in its turn.
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

// Guards the descriptors, and usual clients against those that only hold places: where all are taken, the one
// with the least claim makes way.
bool Downstream::ensure_connection_slot() {
  while (!connection_table_.has_room()) {
    const auto id = connection_table_.eviction_candidate(steady_now());
    if (!id) return false;
    const std::shared_ptr<Session> session = sessions_.at(*id);
    // Guards against closing on a request that has come and has not been read: it is read in its turn.
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
  const auto again = std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
  it->second->answer(503, again > 0 ? "Retry-After: " + std::to_string(again) + "\r\n" : "",
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
  const auto sessions = sessions_;  // a copy: some may end as they go on
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
