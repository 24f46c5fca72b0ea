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

#include "adopted.hpp"
#include "after.hpp"
#include "clock.hpp"
#include "http_memory.hpp"
#include "names.hpp"
#include "number.hpp"
#include "ring_buffer.hpp"
#include "socket_error.hpp"

namespace fennellane {

using asio::ip::tcp;

namespace {

constexpr std::size_t kMostAnswer = 512;  // more than the longest answer
constexpr std::size_t kMostReason = 200;  // of a reason why the relay is not ready

// Guards an option that has to be in force against a passing shortage. One that fails for good leaves a
// connection that works, only less well.
template <class Option>
void set_option(tcp::socket& socket, const Option& option) {
  constexpr int kTries = 4;
  asio::error_code error;
  for (int i = 0; i < kTries; ++i) {
    socket.set_option(option, error);
    if (sort_socket_error(error) == SocketError::none || sort_socket_error(error) == SocketError::peer)
      return;
  }
}

bool visible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

// "dest=7", perhaps among other parts.
std::optional<std::uint64_t> destination(std::string_view text, std::uint64_t most) {
  while (!text.empty()) {
    std::string_view part = text.substr(0, text.find_first_of(",;"));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    if (part.starts_with("dest=")) return whole_number(part.substr(5), most);
  }
  return std::nullopt;
}

}  // namespace

std::variant<Offered, unsigned> read_offer(HttpReader& request, const Config& config) {
  constexpr unsigned kBad = 400, kNoPath = 404, kNoMethod = 405;
  const Limits& limits = config.limits;
  const wire::BootInfo& boot = config.boot;
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
  if (id->empty() || id->size() > limits.id || !visible(*id) || *id == ",") return kBad;
  const auto key = request.header("idempotency-key");
  // Guards the partner against a message whose repeats it could not tell.
  if (keyed && !key) return kBad;
  if (key && (key->empty() || key->size() > limits.idempotency_key || !visible(*key) || *key == ","))
    return kBad;
  Offered offer;
  if (key) offer.idempotency_key = *key;
  offer.message_class = *of_path;
  if (!boot.tenants.empty()) {
    const auto named = tenant ? find_position(boot.tenants, *tenant) : std::nullopt;
    if (!named) return kBad;
    offer.tenant = *named;
  }
  const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(limits.most_budget).count();
  const auto ms = whole_number(*budget, static_cast<std::uint64_t>(most));
  const auto dest = destination(*consignee, limits.most_destination);
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
  Session(Downstream& owner, tcp::socket socket, ReplyTo number)
      : owner_(owner),
        limits_(owner.config_.limits),
        number_(number),
        socket_(std::move(socket)),
        timer_(owner.io_),
        in_(limits_.read_ring),
        out_(limits_.answer_ring),
        request_(HttpReader::Kind::request, limits_.head, limits_.body) {}

  void start() {
    arm(limits_.request);
    read();
  }

  Time since() const { return std::chrono::duration_cast<Time>(since_.time_since_epoch()); }
  bool leaving() const { return lingering_; }
  int descriptor() { return socket_.native_handle(); }
  template <class Archive>
  void remember(Archive& archive) {
    auto expiry = timer_.expiry();
    archive(in_, out_, since_, expiry, served_, handed_in_, ended_, closing_, lingering_, broken_);
    request_.remember(archive);
    if (Archive::is_loading::value) timer_.expires_at(expiry);
  }
  void resume() {
    if (lingering_) {
      await_lingered();
    } else {
      arm_at(timer_.expiry());
    }
    process();
  }

  // Between requests, as far as has been read.
  bool quiet() const { return !closing_ && !request_.started() && in_.empty() && out_.empty(); }
  // And none has come that has not been read yet.
  bool idle() const { return quiet() && !unread(); }
  bool unread() const {
    asio::error_code ignored;
    return socket_.available(ignored) > 0;
  }
  // Tells how it stands, after anything that may have changed it.
  void tell() {
    admission::Places& places = owner_.places_;
    if (lingering_) return places.closes(number_, steady_now());
    if (closing_ || yielded_ || !out_.empty()) return places.busy(number_);
    if (!quiet()) return places.begun(number_, steady_now());
    if (!told_ && served_) places.rests(number_, steady_now(), handed_in_);
    told_ = true;
  }

  // Puts the answer into the ring and as much of it on its way as goes at once, so that it leaves before what
  // the relay does next.
  void answer(unsigned status, std::string_view more_headers = {},
              AdmissionOutcome admission = AdmissionOutcome::malformed, StreamId stream = 0) {
    owner_.record_.note(
        record::Kind::answered, number_, static_cast<std::uint16_t>(status),
        {static_cast<std::uint32_t>(admission), record::us32(waited_), static_cast<std::uint32_t>(stream)});
    if (status != 200 && status != 202 && status != 503) ++owner_.counters_.malformed;
    const bool close = closing_ || owner_.sending_away_ || !request_.done() || !request_.keep_alive();
    closing_ = close;
    out_.append(answer_text(status, close, more_headers));
    if (!writing_) write_out();
  }

  // No more is written; what the client still sends is read and dropped, so that no reset overtakes the
  // answer.
  void finish() {
    closing_ = true;
    if (lingering_) return;
    lingering_ = true;
    since_ = std::chrono::steady_clock::now();
    end_sending();
    timer_.expires_after(limits_.linger);
    await_lingered();
    tell();
  }

  // Closes at once, so that the place is free; half a request hears why, if the answer leaves in one piece.
  void make_way() {
    if (request_.started() && !lingering_) answer(408);
    drop(CloseReason::made_way);
  }

  void drop(CloseReason how) {
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    if (owner_.sessions_.erase(number_) == 0) return;
    owner_.places_.leave(number_);
    owner_.record_.note(record::Kind::client, number_, static_cast<std::uint16_t>(how),
                        {record::ms32(span_since(accepted_)), requests_, record::ms32(span_since(since_))});
  }

 private:
  void end_sending() {
    asio::error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (sort_socket_error(error) != SocketError::local_shortage) return;
    after_pause([](Session& self) { self.end_sending(); });
  }
  // For an operation that failed for want of something here.
  template <class Action>
  void after_pause(Action action) {
    ++owner_.counters_.local_retries;
    after(owner_.io_, limits_.local_retry, [self = shared_from_this(), action] {
      if (self->socket_.is_open()) action(*self);
    });
  }
  void wait_for_request() {
    since_ = std::chrono::steady_clock::now();
    told_ = false;
    if (!slow_) arm(limits_.downstream_idle);
  }
  void await_lingered() {
    timer_.async_wait([self = shared_from_this()](asio::error_code e) {
      if (!e) self->drop(CloseReason::finished);
    });
  }
  void arm(Time limit) { arm_at(std::chrono::steady_clock::now() + limit); }
  void arm_at(std::chrono::steady_clock::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](asio::error_code e) {
      if (e || self->lingering_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      // Guards against answers that nobody reads, or too slowly, holding their connection for good.
      if (!self->closing_ && !self->out_.empty() && self->taken_ >= self->limits_.least_taken) {
        return self->await_taken();
      }
      if (self->closing_ || !self->out_.empty()) return self->drop(CloseReason::unread);
      if (self->idle()) return self->drop(self->served_ ? CloseReason::idle : CloseReason::unfinished);
      // Guards against half a request holding its connection for good.
      if (self->request_.started()) self->answer(408);
      self->flush_then_read();
      if (!self->out_.empty()) return self->arm(self->limits_.linger);
      self->finish();
    });
  }

  // Waits first and reads then. Guards against closing as idle a connection whose request the loop has taken
  // off the socket and not yet shown: what has come is seen by idle() until it is processed.
  void read() {
    if (reading_ || !socket_.is_open()) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code e) {
      self->reading_ = false;
      if (self->socket_.is_open()) self->read_now(e);
    });
  }
  void read_now(asio::error_code error) {
    if (owner_.reading_stopped_) return;
    std::size_t n = 0;
    if (!error) {
      const std::span<char> space = in_.space();
      n = socket_.read_some(asio::buffer(space.data(), space.size()), error);
    }
    ended_ = error == asio::error::eof;
    if (ended_ || !error) {
      in_.commit(n);
      return process();
    }
    switch (sort_socket_error(error)) {
      case SocketError::interrupted:
      case SocketError::not_ready:
        return read();
      case SocketError::local_shortage:
        reading_ = true;
        return after_pause([](Session& self) {
          self.reading_ = false;
          self.read_now({});
        });
      default:
        return drop(CloseReason::by_client);
    }
  }

  void process() {
    if (lingering_) in_.clear();
    unsigned handled = 0;
    while (!in_.empty() && !closing_ && !broken_ && room_to_answer()) {
      // Guards all others against one that sends many requests at once: it goes on in the loop's next turn.
      if (handled++ == limits_.requests_a_turn) {
        yield();
        break;
      }
      const bool fresh = !request_.started();
      const bool head = request_.head_done();
      in_.consume(request_.feed(in_.data()));
      if (served_ && fresh && request_.started() && !request_.done()) {
        since_ = std::chrono::steady_clock::now();
        if (!slow_) arm(limits_.request);
      }
      if (request_.failed()) {
        answer(request_.refusal());
        in_.clear();  // nothing behind it is read as a request
        arm(limits_.linger);
        break;
      }
      if (!head && request_.head_done() && !request_.done() && request_.header("expect") == "100-continue") {
        out_.append("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (request_.done()) {
        ++requests_;
        waited_ = owner_.record_.on() ? waited() : Time(0);
        handle();
        request_.reset();
        served_ = true;
        wait_for_request();
      }
    }
    flush_then_read();
  }

  void yield() {
    if (std::exchange(yielded_, true)) return;
    asio::post(owner_.io_, [self = shared_from_this()] {
      self->yielded_ = false;
      if (self->socket_.is_open()) self->process();
    });
  }

  void handle() {
    if (request_.target() == "/up") {
      if (request_.method() != "GET") return answer(405, "Allow: GET\r\n");
      if (owner_.ready_) return answer(200, "", AdmissionOutcome::other);
      return answer(503, "X-Not-Ready: " + owner_.not_ready_ + "\r\n", AdmissionOutcome::other);
    }
    std::variant<Offered, unsigned> offer = read_offer(request_, owner_.config_);
    if (const unsigned* refused = std::get_if<unsigned>(&offer)) {
      return answer(*refused, *refused == 405 ? "Allow: POST\r\n" : "");
    }
    auto& message = std::get<Offered>(offer);
    owner_.record_.note(record::Kind::asked, number_, static_cast<std::uint16_t>(message.message_class),
                        {message.tenant, message.destination, record::ms32(message.time_left)}, message.id);
    // Guards against taking on what its client has given up while it waited to be read: it comes again under
    // another id.
    if (left()) {
      ++owner_.counters_.refused;
      return answer(503, "", AdmissionOutcome::left);
    }
    message.reply = number_;
    handed_in_ = true;
    owner_.on_offer_(std::move(message));
  }

  // How long the request's last byte has waited here, also before the connection was accepted.
  Time waited() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return Time(0);
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
  }
  static Time span_since(std::chrono::steady_clock::time_point then) {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - then);
  }

  bool left() {
    char byte = 0;
    return ended_ || (in_.empty() && ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
  }

  bool room_to_answer() {
    if (out_.room() < kMostAnswer && !writing_) write_out();
    return out_.room() >= kMostAnswer;
  }

  // As much as goes at once.
  void write_out() {
    asio::error_code error;
    SocketError sorted = SocketError::none;
    while (!out_.empty() && (sorted == SocketError::none || sorted == SocketError::interrupted)) {
      const std::string_view data = out_.data();
      const std::size_t n = socket_.write_some(asio::buffer(data.data(), data.size()), error);
      out_.consume(n);
      taken_ += n;
      sorted = sort_socket_error(error);
    }
    short_ = sorted == SocketError::local_shortage;
    if (sorted == SocketError::peer) broken_ = true;
  }

  void flush_then_read() {
    if (writing_ || !socket_.is_open()) return;
    write_out();
    if (broken_) return drop(CloseReason::by_client);
    if (out_.empty()) {
      if (std::exchange(slow_, false)) arm(request_.started() ? limits_.request : limits_.downstream_idle);
      if (ended_) return drop(closing_ ? CloseReason::finished : CloseReason::by_client);
      if (closing_ && !lingering_) finish();
      return read_if_idle();
    }
    await_room();
    if (!std::exchange(slow_, true)) await_taken();
    tell();
  }
  // What waits is to be taken at a least rate from now on.
  void await_taken() {
    taken_ = 0;
    arm(limits_.linger);
  }
  void await_room() {
    writing_ = true;
    if (short_) return after_pause([](Session& self) { self.write_on(); });
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](asio::error_code e) {
      if (!self->socket_.is_open()) return;
      if (sort_socket_error(e) == SocketError::peer) return self->drop(CloseReason::by_client);
      if (e) return self->after_pause([](Session& waiting) { waiting.write_on(); });
      self->write_on();
    });
  }
  void write_on() {
    writing_ = false;
    write_out();
    // Requests that came while the answers had no room go on now.
    if (!in_.empty() && !closing_) return process();
    flush_then_read();
  }
  void read_if_idle() {
    if (lingering_) in_.clear();
    if (in_.empty()) read();
    tell();
    owner_.close_surplus();  // perhaps this one
  }

  Downstream& owner_;
  const Limits& limits_;
  const ReplyTo number_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  RingBuffer in_;
  RingBuffer out_;
  HttpReader request_;
  const std::chrono::steady_clock::time_point accepted_ =
      std::chrono::steady_clock::now();                      // by this process
  std::chrono::steady_clock::time_point since_ = accepted_;  // it has been as it is
  std::uint32_t requests_ = 0;
  bool handed_in_ = false;  // a message, over this connection
  bool told_ = false;       // that it rests, since its newest request
  Time waited_{};           // of the newest request, where that is recorded
  bool served_ = false;     // a whole request has come
  std::size_t taken_ = 0;   // bytes, since the least rate was looked at last
  bool slow_ = false;       // answers wait for the client to take them
  bool yielded_ = false;    // requests that have been read go on in the loop's next turn
  bool reading_ = false;
  bool writing_ = false;
  bool ended_ = false;    // the client sends no more
  bool closing_ = false;  // nothing more is answered
  bool lingering_ = false;
  bool broken_ = false;
  bool short_ = false;  // the newest write failed for want of something here
};

Downstream::Downstream(asio::io_context& io, const Config& config, Counters& counters, Log& log,
                       record::Recorder& record, OnOffer on_offer)
    : io_(io),
      config_(config),
      counters_(counters),
      log_(log),
      record_(record),
      on_offer_(std::move(on_offer)),
      acceptor_(io),
      pause_(io),
      places_({config.limits.downstream_connections, config.limits.asking_connections,
               config.limits.silent_first, config.limits.newcomer}) {}
Downstream::~Downstream() = default;

void Downstream::set_not_ready(std::string_view reason) {
  not_ready_ = reason.substr(0, kMostReason);
  std::replace_if(
      not_ready_.begin(), not_ready_.end(), [](char c) { return c < ' ' || c > '~'; }, ' ');
}

void Downstream::listen() {
  asio::error_code error;
  const auto ip = asio::ip::make_address(config_.listen.host, error);
  if (error) throw ConfigError("cannot listen on " + config_.listen.text() + ": " + error.message());
  listen_at({ip, config_.listen.port}, steady_now() + config_.limits.start_wait);
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
  if (open_listener(at, error)) return accept();
  const std::string what = "cannot listen on " + config_.listen.text() + ": " + error.message();
  const SocketError sorted = sort_socket_error(error);
  if (sorted == SocketError::peer || sorted == SocketError::not_ready || steady_now() >= give_up_at) {
    throw ListenError(what);
  }
  if (!std::exchange(said_, true)) log_("downstream", what);
  pause_.expires_after(config_.limits.accept_backoff);
  pause_.async_wait([this, at, give_up_at](asio::error_code e) {
    if (!e) listen_at(at, give_up_at);
  });
}

void Downstream::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](asio::error_code error) {
    if (error == asio::error::operation_aborted) return;
    if (error) return pause_accepting();
    accept_some();
  });
}

// Guards those who come behind many others: one a turn is few, where each turn has much to do.
void Downstream::accept_some() {
  for (unsigned i = 0; i < config_.limits.accepts_a_turn; ++i) {
    switch (accept_one()) {
      case Accepted::one:
        break;
      case Accepted::none_waits:
        return accept();
      case Accepted::must_pause:
        return pause_accepting();
    }
  }
  accept();
}

// The next connection's, or none with the errno. Not by the library's own call, which waits for the next
// client where one is gone before it was accepted, and the loop with it.
FileDescriptor Downstream::accept_descriptor(int& error) {
  if (accepted_.get() >= 0) return std::exchange(accepted_, FileDescriptor());
  FileDescriptor fd(::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  error = fd.get() < 0 ? errno : 0;
  return fd;
}

Downstream::Accepted Downstream::accept_one() {
  int failure = 0;
  FileDescriptor fd = accept_descriptor(failure);
  if (is_of_one_connection(failure)) return Accepted::one;  // that one is gone, another may wait
  if (sort_socket_error(failure) == SocketError::not_ready) return Accepted::none_waits;
  // Guards against spinning, or ending, where no descriptor is left.
  if (failure != 0) {
    if (!std::exchange(said_, true))
      log_("downstream", std::string("cannot accept: ") + std::strerror(failure));
    return Accepted::must_pause;
  }
  asio::error_code error;
  tcp::socket socket(io_);
  socket.assign(config_.listen.host.find(':') == std::string::npos ? tcp::v4() : tcp::v6(), fd.get(), error);
  if (error) {
    accepted_ = std::move(fd);
    return Accepted::must_pause;
  }
  fd.release();
  socket.non_blocking(true, error);
  return enter(std::move(socket));
}

Downstream::Accepted Downstream::enter(tcp::socket socket) {
  const bool room = make_room();
  set_option(socket, tcp::no_delay(true));
  // Guards the system's memory against clients that ask on and read nothing.
  set_option(socket, asio::socket_base::send_buffer_size(static_cast<int>(config_.limits.answer_buffer)));
  ++counters_.clients;
  const auto session = std::make_shared<Session>(*this, std::move(socket), next_++);
  sessions_.emplace(next_ - 1, session);
  places_.enter(next_ - 1, steady_now());
  session->start();
  if (!room) record_.note(record::Kind::no_place, 0, 0, {static_cast<std::uint32_t>(sessions_.size())});
  return room ? Accepted::one : Accepted::must_pause;
}

void Downstream::close_surplus() {
  while (const auto id = places_.surplus()) {
    const std::shared_ptr<Session> session = sessions_.at(*id);
    // Guards against closing on a request that has come and has not been read: it is read in its turn.
    if (session->unread()) {
      places_.busy(*id);
      continue;
    }
    ++counters_.made_way;
    session->make_way();
  }
}

void Downstream::pause_accepting() {
  pause_.expires_after(config_.limits.accept_backoff);
  pause_.async_wait([this](asio::error_code error) {
    if (error) return;
    if (make_room()) return accept_some();
    pause_accepting();
  });
}

// Guards the descriptors, and usual clients against those that only hold places: where all are taken, the one
// with the least claim makes way.
bool Downstream::make_room() {
  while (!places_.room()) {
    const auto id = places_.least(steady_now());
    if (!id) return false;
    const std::shared_ptr<Session> session = sessions_.at(*id);
    // Guards against closing on a request that has come and has not been read: it is read in its turn.
    if (!session->leaving() && session->unread()) {
      places_.busy(*id);
      continue;
    }
    ++counters_.made_way;
    session->make_way();
  }
  return true;
}

void Downstream::answer(const Answer& answer) {
  const auto it = sessions_.find(answer.reply);
  if (it == sessions_.end()) return;
  if (answer.with == Reply::taken) return it->second->answer(202, "", answer.admission, answer.stream);
  if (answer.with == Reply::unknown) return it->second->answer(400, "", answer.admission);
  const auto again = std::chrono::ceil<std::chrono::seconds>(answer.again).count();
  it->second->answer(503, again > 0 ? "Retry-After: " + std::to_string(again) + "\r\n" : "",
                     answer.admission);
}

std::string Downstream::save(DescriptorsOut& descriptors) {
  return written_memory([&](MemoryWriter& archive) {
    archive(descriptors.add(acceptor_.native_handle()), next_, sessions_.size());
    for (const auto& [number, session] : sessions_) {
      archive(number, descriptors.add(session->descriptor()));
      session->remember(archive);
    }
  });
}

void Downstream::load(std::string_view bytes, DescriptorsIn& descriptors) {
  read_memory(bytes, "the clients' connections", [&](MemoryReader& archive) {
    std::uint32_t listener = 0;
    std::size_t count = 0;
    archive(listener, next_, count);
    adopt(acceptor_, descriptors.take(listener));
    for (; count > 0; --count) {
      ReplyTo number = 0;
      std::uint32_t position = 0;
      archive(number, position);
      tcp::socket socket(io_);
      adopt(socket, descriptors.take(position));
      const auto session = std::make_shared<Session>(*this, std::move(socket), number);
      session->remember(archive);
      sessions_.emplace(number, session);
      places_.enter(number, session->since());
    }
  });
}

void Downstream::resume() {
  accept();
  const auto sessions = sessions_;  // a copy: some may end as they go on
  for (const auto& [number, session] : sessions) session->resume();
}

void Downstream::send_away() { sending_away_ = true; }

void Downstream::stop_reading() {
  reading_stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

void Downstream::close_idle() {
  for (const auto& [number, session] : sessions_) {
    if (session->idle()) session->finish();
  }
}

}  // namespace fennellane
