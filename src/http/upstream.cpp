#include "upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <span>

#include "adopted.hpp"
#include "after.hpp"
#include "clock.hpp"
#include "http_memory.hpp"
#include "ring_buffer.hpp"
#include "socket_error.hpp"

namespace fennellane {

using asio::ip::tcp;
using starlinghook::Outcome;

AnswerMeaning meaning(const HttpReader& answer) {
  AnswerMeaning m;
  constexpr std::uint64_t kMostWait = 1000ull * 60 * 60 * 24;
  switch (answer.status()) {
    case 200:
      m.outcome = Outcome::delivered;
      break;
    case 500:
      m.outcome = Outcome::error;
      break;
    case 429:
      m.outcome = Outcome::full;
      if (const auto wait = answer.header("x-come-back-ms")) {
        // Guards against losing a wait that is not written as a whole number: it is rounded up.
        double ms = 0;
        const auto [end, error] = std::from_chars(wait->data(), wait->data() + wait->size(), ms);
        if (error == std::errc() && ms > 0) {
          m.told_wait = std::chrono::milliseconds(
              std::min(kMostWait, static_cast<std::uint64_t>(std::ceil(std::min(ms, 1e12)))));
        }
      }
      break;
    case 503:
      m.no_slot = answer.header("x-line-busy") == "1";
      m.outcome = m.no_slot ? Outcome::not_sent : Outcome::full;
      break;
    case 504:
      m.outcome = Outcome::not_sent;
      break;
    case 410:
      m.outcome = Outcome::not_sent;
      m.over = true;
      break;
    default:  // nothing that the protocol knows: it may have run
      m.known = false;
  }
  return m;
}

namespace {
constexpr double kMostReport = 1e9;  // calls a second
}

starlinghook::LoadReport load_report(std::string_view text, const wire::BootInfo& boot) {
  starlinghook::LoadReport report;
  if (!boot.settings.reports_allowance) return report;
  const std::string& allowance = boot.report_names[static_cast<std::size_t>(boot.allowance_field)];
  const std::string& limit = boot.report_names[static_cast<std::size_t>(boot.limit_field)];
  bool has_allowance = false, has_limit = false;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const std::string_view name = pair.substr(0, equals), number = pair.substr(equals + 1);
    if (name != allowance && name != limit) continue;
    double& field = name == allowance ? report.allowance_left : report.limit;
    bool& seen = name == allowance ? has_allowance : has_limit;
    const char* const last = number.data() + number.size();
    const auto [end, error] = std::from_chars(number.data(), last, field);
    // Guards against half a report: one that cannot be read in every part is none.
    if (seen || error != std::errc() || end != last || !std::isfinite(field) || field < 0 ||
        field > kMostReport) {
      return {};
    }
    seen = true;
  }
  report.present = has_allowance && has_limit;
  return report;
}

// One connection to an upstream host. While it is open it is always waited on for reading, so that its end is
// seen at once, also between calls. No operation that is under way connects, writes or reads by itself: see
// Downstream::Session.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& pool, HostId host)
      : pool_(pool),
        count_(pool.connections_),
        host_(host),
        socket_(pool.io_),
        timer_(pool.io_),
        in_(pool.config_.limits.read_ring),
        out_(pool.config_.limits.call_ring),
        answer_(HttpReader::Kind::response, pool.config_.limits.head, pool.config_.limits.body) {
    ++*count_;
  }
  ~Connection() { --*count_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  HostId host() const { return host_; }
  Time idle_since() const { return idle_since_; }
  Time idle_for() const { return steady_now() - idle_since_; }

  void connect(StartCall call) {
    take(std::move(call));
    ++pool_.counters_.connects;
    arm(std::min({pool_.config_.limits.connect, call_.timeout, call_.begin_within}));
    begin_connecting();
  }

  bool busy() const { return busy_; }
  StreamId stream() const { return call_.stream; }

  template <class Archive>
  void remember(Archive& archive) {
    auto expiry = timer_.expiry();
    archive(expiry, idle_since_, idle_, up_, busy_, retired_);
    if (Archive::is_loading::value) timer_.expires_at(expiry);
    if (!busy_) return;
    // All of the call but its body: that is in the ring, or gone out.
    archive(call_.stream, call_.attempt, call_.address, call_.id, call_.timeout, deadline_, begin_by_,
            started_, written_, answering_, interim_, due_, in_, out_);
    answer_.remember(archive);
  }
  void adopt_socket(FileDescriptor fd) { adopt(socket_, std::move(fd)); }
  // -1: there is none.
  int descriptor() { return socket_.is_open() ? socket_.native_handle() : -1; }
  void resume() {
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

  void reuse(StartCall call) {
    take(std::move(call));
    idle_ = std::max(Time(1), steady_now() - idle_since_);
    ++pool_.counters_.reused;
    arm_at(deadline_);
    write();
  }

  // Whether the other side has closed, which the read out may not have told yet.
  bool closed() {
    char byte = 0;
    const ssize_t n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void give_up(const CancelCall& c) {
    if (busy_ && call_.stream == c.stream && call_.attempt == c.attempt) later(Due::cancelled);
  }
  // At once, since the connection may come up before the loop's next turn; the call ends in that turn.
  void hold_back(const HoldBack& c) {
    if (!busy_ || started_ || call_.stream != c.stream || call_.attempt != c.attempt) return;
    later(Due::held_back);
  }
  void retire() { retired_ = true; }
  void close() {
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

  void rest(Time idle) {
    idle_since_ = steady_now();
    timer_.expires_after(idle);
    await_rested();
  }

 private:
  void await_rested() {
    timer_.async_wait([self = shared_from_this()](asio::error_code e) {
      if (e || self->busy_ || !self->socket_.is_open()) return;
      self->pool_.forget_idle(*self);
      self->close();
    });
  }
  void take(StartCall call) {
    call_ = std::move(call);
    busy_ = true;
    started_ = written_ = answering_ = short_ = false;
    due_ = Due::nothing;
    interim_ = 0;
    answer_.reset();
    out_.clear();
    deadline_ = std::chrono::steady_clock::now() + std::max(call_.timeout, Time(1000));
    begin_by_ = call_.begin_within == Time::max() ? Time::max() : steady_now() + call_.begin_within;
    const auto budget = std::max<Time::rep>(1, call_.timeout.count() / 1000);
    const std::string key_line =
        call_.idempotency_key.empty() ? "" : "\r\nIdempotency-Key: " + call_.idempotency_key;
    std::string head = "POST /hook HTTP/1.1\r\nHost: " + call_.address.text() + "\r\nX-Call-Id: " + call_.id +
                       key_line + "\r\nX-Budget-Ms: " + std::to_string(budget) +
                       "\r\nContent-Length: " + std::to_string(call_.body->size()) + "\r\n\r\n";
    out_.append(head);
    out_.append(*call_.body);
  }

  void arm(Time limit) { arm_at(std::chrono::steady_clock::now() + limit); }
  void arm_at(asio::steady_timer::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](asio::error_code e) {
      if (e || !self->busy_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      if (self->answering_) return self->spoilt();
      if (self->short_) return self->end_short();
      self->end(self->written_ ? Outcome::timeout : Outcome::connect_failed);
    });
  }

  // What ends the call in the loop's next turn, never before the one who started it returns. The first such
  // end is the one.
  enum class Due : std::uint8_t { nothing, connect_failed, broken, held_back, cancelled };
  void later(Due due) {
    if (due_ != Due::nothing) return;
    due_ = due;
    asio::post(pool_.io_, [self = shared_from_this()] { self->end_due(); });
  }
  void end_due() {
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

  // The errno of a connect that has begun, or 0.
  int connect_now() {
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
  void begin_connecting() {
    const int error = connect_now();
    // Guards the host against being taken for failing where this machine was short of something. EAGAIN: of
    // ports.
    if (sort_socket_error(error) == SocketError::local_shortage || error == EAGAIN) return connect_again();
    if (error != 0) return later(Due::connect_failed);
    short_ = false;
    await_connected();
  }
  void connect_again() {
    short_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    after_pause([](Connection& self) { self.begin_connecting(); });
  }
  // For an operation of this call that failed for want of something here.
  template <class Action>
  void after_pause(Action action) {
    ++pool_.counters_.local_retries;
    after(pool_.io_, pool_.config_.limits.local_retry,
          [self = shared_from_this(), action, stream = call_.stream, attempt = call_.attempt] {
            const bool same = self->call_.stream == stream && self->call_.attempt == attempt;
            if (self->busy_ && same && self->due_ == Due::nothing) action(*self);
          });
  }

  void await_connected() {
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
      if (!self->socket_.is_open() || !self->busy_ || self->due_ != Due::nothing) return;  // given up
      self->look_whether_connected(e);
    });
  }
  void look_whether_connected(asio::error_code error) {
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
    write();
    read();
  }

  void write() {
    started_ = true;
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
  void write_again() {
    after_pause([](Connection& self) {
      if (self.socket_.is_open()) self.write();
    });
  }
  void await_room() {
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
      if (!self->busy_ || !self->socket_.is_open()) return;
      if (sort_socket_error(e) == SocketError::peer) return self->broken();
      if (e) return self->write_again();
      self->write();
    });
  }

  // Waits first and reads then. Guards against bytes that came behind an answer being taken off the socket
  // while the connection is idle, unseen by closed(), and read as the answer to its next call.
  void read() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code e) {
      if (!self->socket_.is_open()) return;
      if (!self->busy_) return self->drop_idle();
      self->read_now(e);
    });
  }
  void read_now(asio::error_code error) {
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

  // Guards against bytes that no call asked for being read as the answer to the next one.
  void drop_idle() {
    pool_.forget_idle(*this);
    close();
  }

  void heard(bool ended) {
    // Guards against an answer that begins and does not end: it has a short time of its own.
    if (!answering_ && !in_.empty()) {
      answering_ = true;
      arm_at(std::min(deadline_, std::chrono::steady_clock::now() + pool_.config_.limits.answer_rest));
    }
    while (!in_.empty() && !answer_.done() && !answer_.failed()) {
      in_.consume(answer_.feed(in_.data()));
      // An interim answer is not the answer, and there may be only so many.
      if (interim() && interim_++ < pool_.config_.limits.interim_answers) {
        answer_.reset();
        answering_ = !in_.empty();
        if (!answering_) arm_at(deadline_);
      }
    }
    if (ended) answer_.end_of_input();
    if (answer_.failed() || interim()) return spoilt();
    if (answer_.done()) return answered(!ended && written_ && in_.empty() && answer_.keep_alive());
    if (ended) return broken();
    read();
  }

  bool interim() const { return answer_.done() && answer_.status() >= 100 && answer_.status() < 200; }

  // An answer that cannot be read to its end. Where its first line told that the message is delivered, that
  // is true; any other tells nothing, so the call may have run, whatever its head said.
  void spoilt() {
    ++pool_.counters_.spoilt;
    if (answer_.first_line_says(200)) return end(Outcome::delivered);
    end(written_ ? Outcome::error : Outcome::connect_failed);
  }

  // The connection ended in the middle. Before the call's last byte was written it cannot have run.
  void broken() {
    if (answer_.first_line_says(200)) return end(Outcome::delivered);
    end(written_ ? Outcome::reset : Outcome::connect_failed, up_);
  }

  void answered(bool keep) {
    const AnswerMeaning m = meaning(answer_);
    if (!m.known) {
      ++pool_.counters_.spoilt;
      keep = false;
    }
    keep = keep && !retired_;
    CallEnded ended{call_.stream, call_.attempt, m.outcome, m.over, m.told_wait, m.no_slot, {}, false, idle_};
    if (const auto text = answer_.header("x-load-report"))
      ended.report = load_report(*text, pool_.config_.boot);
    // Guards against a host's limit on connections being taken for one on calls: it closes at once what it
    // has no place for, and nobody's load is in that answer.
    ended.connection_only =
        m.outcome == Outcome::full && !answer_.keep_alive() && idle_ == Time(0) && !ended.report.present;
    if (keep) {
      release();
      pool_.park(shared_from_this());
      read();
    }
    finish(ended, keep);
  }

  // It could not even begin, and the host has nothing to do with it.
  void end_short() {
    finish(
        CallEnded{call_.stream, call_.attempt, Outcome::not_sent, false, Time(0), true, {}, false, Time(0)},
        false);
  }
  void end(Outcome outcome, bool connection_only = false) {
    if (!busy_) return;
    finish(CallEnded{call_.stream, call_.attempt, outcome, false, Time(0), false, {}, connection_only, idle_},
           false);
  }
  void release() {
    busy_ = false;
    timer_.cancel();
    pool_.calls_.erase(call_.stream);
    call_.body.reset();
    answer_.take_body();
  }
  void finish(const CallEnded& ended, bool kept) {
    if (!kept) {
      release();
      close();  // before the next attempt can start
    }
    pool_.report(ended);
  }

  Upstream& pool_;
  const std::shared_ptr<std::size_t> count_;
  const HostId host_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader answer_;
  StartCall call_;
  asio::steady_timer::time_point deadline_;
  Time begin_by_ = Time::max();  // the call's first byte
  Time idle_since_{};
  Time idle_{};      // before the call; 0 = it came up for it
  bool up_ = false;  // it did come up
  bool busy_ = false;
  Due due_ = Due::nothing;
  bool retired_ = false;  // closes after its call
  bool started_ = false;  // a byte of the call may be on its way
  bool written_ = false;
  bool answering_ = false;  // a byte of the answer has come
  bool short_ = false;      // there is no connection yet for want of something here
  unsigned interim_ = 0;
};

Upstream::Upstream(asio::io_context& io, const Config& config, Counters& counters, OnEnd on_end)
    : io_(io), config_(config), counters_(counters), on_end_(std::move(on_end)) {}
Upstream::~Upstream() = default;

void Upstream::report(const CallEnded& end) { on_end_(end); }

void Upstream::start(StartCall call) {
  while (const Pointer connection = take_idle(call.host)) {
    // Those that are left have stood idle for longer still.
    if (connection->closed() || connection->idle_for() > call.most_idle) {
      connection->close();
      continue;
    }
    calls_[call.stream] = connection;
    return connection->reuse(std::move(call));
  }
  if (!make_room()) {
    return end_unsent(call.stream, call.attempt);
  }
  const auto connection = std::make_shared<Connection>(*this, call.host);
  calls_[call.stream] = connection;
  connection->connect(std::move(call));
}

void Upstream::end_unsent(StreamId stream, std::uint32_t attempt) {
  unsent_.push_back({stream, attempt});
  asio::post(io_, [this] { report_unsent(); });
}

void Upstream::report_unsent() {
  for (const auto& [stream, attempt] : std::exchange(unsent_, {})) {
    report(CallEnded{stream, attempt, Outcome::not_sent, false, Time(0), true, {}, false, Time(0)});
  }
}

// Guards the descriptors: the connection that has been idle for longest makes way.
bool Upstream::make_room() {
  if (*connections_ < config_.limits.upstream_connections) return true;
  Connection* oldest = nullptr;
  for (const auto& [host, pool] : idle_) {
    if (!pool.empty() && (!oldest || pool.front()->idle_since() < oldest->idle_since())) {
      oldest = pool.front().get();
    }
  }
  if (!oldest) return false;
  const Pointer kept = oldest->shared_from_this();
  forget_idle(*kept);
  kept->close();
  return true;
}

void Upstream::cancel(const CancelCall& call) {
  const auto it = calls_.find(call.stream);
  if (it == calls_.end()) return;
  it->second->give_up(call);
}

void Upstream::hold_back(const HoldBack& call) {
  const auto it = calls_.find(call.stream);
  if (it == calls_.end()) return;
  it->second->hold_back(call);
}

void Upstream::park(const Pointer& connection) {
  idle_[connection->host()].push_back(connection);
  connection->rest(config_.limits.upstream_idle);
}

Upstream::Pointer Upstream::take_idle(HostId host) {
  const auto pool = idle_.find(host);
  if (pool == idle_.end()) return nullptr;
  const Pointer connection = pool->second.back();
  pool->second.pop_back();
  if (pool->second.empty()) idle_.erase(pool);
  return connection;
}

void Upstream::forget_idle(const Connection& connection) {
  const auto pool = idle_.find(connection.host());
  if (pool == idle_.end()) return;
  std::erase_if(pool->second, [&](const Pointer& p) { return p.get() == &connection; });
  if (pool->second.empty()) idle_.erase(pool);
}

std::string Upstream::save(DescriptorsOut& descriptors) {
  constexpr std::uint32_t kNone = UINT32_MAX;
  return written_memory([&](MemoryWriter& archive) {
    std::vector<Pointer> all;
    for (const auto& [stream, connection] : calls_) all.push_back(connection);
    for (const auto& [host, pool] : idle_) all.insert(all.end(), pool.begin(), pool.end());
    archive(unsent_, all.size());
    for (const Pointer& connection : all) {
      const int fd = connection->descriptor();
      archive(connection->host(), fd < 0 ? kNone : descriptors.add(fd));
      connection->remember(archive);
    }
  });
}

void Upstream::load(std::string_view bytes, DescriptorsIn& descriptors) {
  read_memory(bytes, "the upstream connections", [&](MemoryReader& archive) {
    std::size_t count = 0;
    archive(unsent_, count);
    for (; count > 0; --count) {
      HostId host = 0;
      std::uint32_t position = 0;
      archive(host, position);
      const auto connection = std::make_shared<Connection>(*this, host);
      if (position != UINT32_MAX) connection->adopt_socket(descriptors.take(position));
      connection->remember(archive);
      if (connection->busy()) {
        calls_[connection->stream()] = connection;
      } else {
        idle_[host].push_back(connection);
      }
    }
  });
}

void Upstream::resume() {
  if (!unsent_.empty()) asio::post(io_, [this] { report_unsent(); });
  for (const auto& [stream, connection] : calls_) connection->resume();
  for (const auto& [host, pool] : idle_) {
    for (const Pointer& connection : pool) connection->resume();
  }
}

void Upstream::close_idle(HostId host) {
  while (const Pointer connection = take_idle(host)) connection->close();
}

void Upstream::retire(HostId host) {
  close_idle(host);
  for (const auto& [stream, connection] : calls_) {
    if (connection->host() == host) connection->retire();
  }
}

}  // namespace fennellane
