#include "threaded_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace fennellane::standin {

using asio::ip::tcp;

ThreadedServer::ThreadedServer(Serve serve)
    : serve_(std::move(serve)),
      acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
      port_(acceptor_.local_endpoint().port()),
      accepting_([this] { accept(); }) {}

void ThreadedServer::accept() {
  while (true) {
    asio::error_code error;
    auto socket = std::make_shared<tcp::socket>(io_);
    acceptor_.accept(*socket, error);
    const std::scoped_lock lock(mutex_);
    if (error || stopping_) return;
    socket->set_option(tcp::no_delay(true), error);
    sockets_.push_back(socket);
    // Guards the address space: a thread that has ended keeps its stack until it is joined, and a release
    // over 300 relays makes tens of thousands of connections.
    for (const std::thread::id ended : std::exchange(ended_, {})) {
      const auto it = std::find_if(threads_.begin(), threads_.end(),
                                   [ended](const std::thread& each) { return each.get_id() == ended; });
      it->join();
      threads_.erase(it);
    }
    threads_.emplace_back([this, socket] {
      serve_(socket);
      const std::scoped_lock ending(mutex_);
      ::shutdown(socket->native_handle(), SHUT_RDWR);
      std::erase(sockets_, socket);
      ended_.push_back(std::this_thread::get_id());
    });
  }
}

void ThreadedServer::close_connections() {
  const std::scoped_lock lock(mutex_);
  for (const Socket& socket : sockets_) ::shutdown(socket->native_handle(), SHUT_RDWR);
}

void ThreadedServer::stop() {
  {
    const std::scoped_lock lock(mutex_);
    if (stopping_) return;
    stopping_ = true;
    for (const Socket& socket : sockets_) ::shutdown(socket->native_handle(), SHUT_RDWR);
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  }
  accepting_.join();
  for (std::thread& thread : threads_) thread.join();
}

}  // namespace fennellane::standin
