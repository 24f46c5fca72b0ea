// An HTTP server whose answers follow a script: each may be late, and further bytes may be written on its
// connection before or after it, as by a path that repeats, delays or makes up answers.
#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "http_server.hpp"
#include "threaded_server.hpp"

namespace fennellane::standin {

// Bytes that answer no request, and when they are written: so long after the request's last byte came.
struct StrayBytes {
  std::chrono::milliseconds at{};
  std::string text;
};

// What follows a request on its connection. The answer of a request that asks for the connection's close says
// `Connection: close`, and the connection is closed behind it and behind the strays that are due by then.
struct ScriptedAnswer {
  std::string text;  // empty: none, the connection stays open; kReset: it is reset
  std::chrono::milliseconds at{};
  std::vector<StrayBytes> strays;
};

class ScriptedServer {
 public:
  using Script = std::function<ScriptedAnswer(const Request&)>;
  // `greeting`: written on each new connection, before any request.
  using Greeting = std::function<std::string()>;
  explicit ScriptedServer(Script script, Greeting greeting = {});

  std::string address() const { return server_.address(); }
  std::vector<Request> requests() const;
  std::size_t count(const std::string& id) const;
  std::size_t connections() const;

 private:
  class Exchange;
  void serve(const ThreadedServer::Socket& socket);
  void keep(const Request& request);

  const Script script_;
  const Greeting greeting_;
  mutable std::mutex mutex_;
  std::vector<Request> requests_;
  std::size_t connections_ = 0;
  ThreadedServer server_;  // last, since its threads use all the others
};

}  // namespace fennellane::standin
