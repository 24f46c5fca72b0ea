#include "fault_proxy.hpp"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <future>

namespace fennellane::harness {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

tcp::endpoint endpoint_of(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

struct Link {
  explicit Link(asio::io_context& io) : client(io), server(io) {}
  tcp::socket client, server;
  bool lossy = false;  // bytes have been dropped: it must not go on

  void close() {
    asio::error_code ignored;
    for (tcp::socket* socket : {&client, &server}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
};

}  // namespace

const char* name_of(PathFault fault) {
  constexpr const char* kNames[kPathFaults] = {"none", "delay", "hold_up", "hold_down",
                                               "hold", "drop",  "refuse"};
  return kNames[static_cast<int>(fault)];
}

struct FaultProxy::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context, const std::string& listen, const std::string& from, const std::string& to)
      : io(context),
        acceptor(context, {asio::ip::make_address(listen), 0}),
        source(asio::ip::make_address(from), 0),
        target(endpoint_of(to)),
        changed(context) {
    changed.expires_at(asio::steady_timer::time_point::max());
  }

  asio::awaitable<void> accept() {
    while (!stopped) {
      auto link = std::make_shared<Link>(io);
      asio::error_code error;
      co_await acceptor.async_accept(link->client, into(error));
      if (error || stopped) co_return;
      if (fault == PathFault::refuse) {
        link->close();
        continue;
      }
      asio::co_spawn(
          io, [self = shared_from_this(), link]() -> asio::awaitable<void> { co_await self->serve(link); },
          asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Link> link) {
    asio::error_code error;
    link->server.open(tcp::v4(), error);
    if (!error) link->server.bind(source, error);
    if (!error) co_await link->server.async_connect(target, into(error));
    if (error || stopped) {
      link->close();
      co_return;
    }
    link->client.set_option(tcp::no_delay(true), error);
    link->server.set_option(tcp::no_delay(true), error);
    links.push_back(link);
    asio::co_spawn(
        io,
        [self = shared_from_this(), link]() -> asio::awaitable<void> {
          co_await self->pump(link, link->server, link->client, PathFault::hold_down);
        },
        asio::detached);
    co_await pump(link, link->client, link->server, PathFault::hold_up);
  }

  bool holds(PathFault way) const { return fault == PathFault::hold || fault == way; }

  asio::awaitable<void> pump(std::shared_ptr<Link> link, tcp::socket& from, tcp::socket& to, PathFault way) {
    char piece[16384];
    asio::error_code error;
    while (!stopped) {
      const std::size_t n = co_await from.async_read_some(asio::buffer(piece), into(error));
      if (!error && fault == PathFault::delay) {
        asio::steady_timer pause(io, delay);
        asio::error_code ignored;
        co_await pause.async_wait(into(ignored));
      }
      while (holds(way) && !stopped) {
        asio::error_code woken;
        co_await changed.async_wait(into(woken));
      }
      if (stopped) break;
      if (fault == PathFault::drop) {
        link->lossy = true;
        if (error) break;
        continue;
      }
      if (n > 0) {
        asio::error_code failed;
        co_await asio::async_write(to, asio::buffer(piece, n), into(failed));
        if (failed) break;
      }
      if (error == asio::error::eof) {
        asio::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        // The other way may still have something to say.
        if (way == PathFault::hold_down) link->close();
        co_return;
      }
      if (error) break;
    }
    link->close();
    std::erase_if(links, [&link](const auto& l) { return l.lock() == link || l.expired(); });
  }

  void close_all() {
    for (const auto& weak : std::exchange(links, {}))
      if (const auto link = weak.lock()) link->close();
  }

  void take(PathFault wanted, milliseconds span) {
    fault = wanted;
    delay = span;
    changed.cancel();  // wakes those that stand still; they look again
    if (fault == PathFault::refuse) close_all();
    for (const auto& weak : links) {
      const auto link = weak.lock();
      if (link && link->lossy && fault != PathFault::drop) link->close();
    }
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  const tcp::endpoint source, target;
  asio::steady_timer changed;
  PathFault fault = PathFault::none;
  milliseconds delay{};
  std::vector<std::weak_ptr<Link>> links;
  bool stopped = false;
};

FaultProxy::FaultProxy(ProxyLoop& loop, const std::string& listen, const std::string& source,
                       const std::string& target)
    : loop_(loop), state_(std::make_shared<State>(loop.io(), listen, source, target)) {
  const tcp::endpoint local = state_->acceptor.local_endpoint();
  address_ = local.address().to_string() + ":" + std::to_string(local.port());
  asio::co_spawn(
      loop.io(), [state = state_]() -> asio::awaitable<void> { co_await state->accept(); }, asio::detached);
}

FaultProxy::~FaultProxy() {
  std::promise<void> done;
  asio::post(loop_.io(), [this, &done] {
    state_->stopped = true;
    asio::error_code ignored;
    state_->acceptor.close(ignored);
    state_->changed.cancel();
    state_->close_all();
    done.set_value();
  });
  done.get_future().wait();
}

void FaultProxy::set(PathFault fault, milliseconds delay) {
  asio::post(loop_.io(), [state = state_, fault, delay] { state->take(fault, delay); });
}

void FaultProxy::reset() {
  asio::post(loop_.io(), [state = state_] { state->close_all(); });
}

ProxyLoop::ProxyLoop() : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}

ProxyLoop::~ProxyLoop() {
  work_.reset();
  io_.stop();
  thread_.join();
}

}  // namespace fennellane::harness
