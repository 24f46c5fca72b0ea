// An HTTP server that answers by a handler, and a platform made of one: for tests and for the fault
// laboratory.
#pragma once

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "http.hpp"
#include "sample_config.hpp"
#include "threaded_server.hpp"

namespace fennellane::standin {

using asio::ip::tcp;

inline const std::string kReset = "reset";  // as an answer: the connection is reset

// The same answer as one that says `Connection: close`.
inline std::string with_close(std::string answer) {
  const std::size_t first_line = answer.find("\r\n");
  if (first_line != std::string::npos) answer.insert(first_line + 2, "Connection: close\r\n");
  return answer;
}

struct Request {
  std::string target, id, body, idempotency_key;
  int nth = 1;              // on its connection
  bool asks_close = false;  // of the connection, behind its answer
};

// An HTTP server that answers each request with the text its handler returns; an empty one is no answer.
class Server {
 public:
  using Handler = std::function<std::string(const Request&)>;
  explicit Server(Handler handler)
      : handler_(std::move(handler)),
        server_([this](const ThreadedServer::Socket& socket) { serve(*socket); }) {}

  std::string address() const { return server_.address(); }
  std::vector<Request> requests() const {
    const std::scoped_lock lock(mutex_);
    return requests_;
  }
  std::size_t count(const std::string& id) const {
    const std::vector<Request> all = requests();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const Request& r) { return r.id == id; }));
  }

 private:
  void serve(tcp::socket& socket) {
    HttpReader reader(HttpReader::Kind::request, 65536, 1 << 20);
    char piece[4096];
    int nth = 0;
    asio::error_code error;
    while (true) {
      const std::size_t n = socket.read_some(asio::buffer(piece), error);
      if (error) return;
      std::string_view text(piece, n);
      while (!text.empty() && !reader.failed()) {
        text.remove_prefix(reader.feed(text));
        if (!reader.done()) continue;
        const Request request{reader.target(),
                              std::string(reader.header("x-call-id").value_or("")),
                              reader.take_body(),
                              std::string(reader.header("idempotency-key").value_or("")),
                              ++nth,
                              !reader.keep_alive()};
        reader.reset();
        {
          const std::scoped_lock lock(mutex_);
          requests_.push_back(request);
        }
        const std::string plain = handler_(request);
        const bool closes = request.asks_close && plain.starts_with("HTTP/1.");
        const std::string answer = closes ? with_close(plain) : plain;
        if (answer == kReset) {
          socket.set_option(asio::socket_base::linger(true, 0), error);
          socket.close(error);
          return;
        }
        asio::write(socket, asio::buffer(answer), error);
        if (error || closes) return;
      }
    }
  }

  Handler handler_;
  mutable std::mutex mutex_;
  std::vector<Request> requests_;
  ThreadedServer server_;  // last, since its threads use all the others
};

inline std::string answer(const std::string& status, const std::string& body = "",
                          const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Discovery and the platform's notices.
class Platform {
 public:
  explicit Platform(std::vector<HostLine> hosts, std::string first_watch = "\n")
      : list_(list_json(hosts)),
        first_watch_(std::move(first_watch)),
        server_([this](const Request& r) { return handle(r); }) {}
  std::string address() const { return server_.address(); }
  bool noticed(const std::string& line) const {
    for (const Request& r : server_.requests()) {
      if (r.target == "/v1/notices" && r.body.find(line) != std::string::npos) return true;
    }
    return false;
  }
  // What the next watch hears first.
  void set_watch(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    first_watch_ = text;
  }
  void take_notices(bool takes) { takes_notices_ = takes; }
  std::vector<Request> requests() const { return server_.requests(); }
  std::size_t watches() const {
    const auto all = server_.requests();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const Request& r) {
      return r.target.find("watch=1") != std::string::npos;
    }));
  }

 private:
  std::string handle(const Request& r) {
    if (r.target == "/v1/notices")
      return answer(takes_notices_ ? "204 No Content" : "503 Service Unavailable");
    if (r.target == "/discovery/hosts") return answer("200 OK", list_);
    const std::scoped_lock lock(mutex_);
    std::ostringstream chunk;
    chunk << std::hex << first_watch_.size() << "\r\n" << first_watch_ << "\r\n";
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.str();
  }
  std::string list_;
  std::mutex mutex_;
  std::string first_watch_;
  std::atomic<bool> takes_notices_ = true;
  Server server_;
};

}  // namespace fennellane::standin
