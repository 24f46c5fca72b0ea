// Adopts a TCP socket or listener that another process opened.
#pragma once

#include <sys/socket.h>

#include <asio/ip/tcp.hpp>

#include "descriptor.hpp"

namespace fennellane {

// Throws std::system_error if the descriptor is not a socket.
template <class Socket>
void adopt_tcp_socket(Socket& socket, FileDescriptor fd) {
  sockaddr_storage name{};
  socklen_t size = sizeof name;
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&name), &size) != 0) {
    throw std::system_error(errno, std::generic_category(), "a socket that was handed over");
  }
  socket.assign(name.ss_family == AF_INET6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), fd.get());
  fd.release();
  socket.non_blocking(true);
}

}  // namespace fennellane
