// Classifies the errors of socket system calls by what the caller has to do.
#pragma once

#include <asio/error_code.hpp>

namespace fennellane {

enum class SocketError {
  none,
  interrupted,     // repeat the call at once
  not_ready,       // repeat the call once the socket is ready
  local_shortage,  // of memory, descriptors, ports or routes: repeat after a pause; says nothing about the
                   // peer
  peer,            // the connection has ended or was never established
};

// Takes an errno; 0 means no error.
SocketError classify_socket_error(int error);
SocketError classify_socket_error(const asio::error_code& error);

// For an error of accept4: whether it affects only the connection to be accepted, so that the next one may
// succeed.
bool affects_one_connection(int accept_error);

}  // namespace fennellane
