#include "scripted_server.hpp"

#include <poll.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <optional>
#include <utility>

namespace fennellane::standin {

namespace {

using Clock = std::chrono::steady_clock;

struct DueBytes {
  Clock::time_point at;
  std::string text;
  bool is_answer = false;
  bool closes = false;
};

}  // namespace

ScriptedServer::ScriptedServer(Script script, Greeting greeting)
    : script_(std::move(script)),
      greeting_(std::move(greeting)),
      server_([this](const ThreadedServer::Socket& socket) { serve(socket); }) {}

std::vector<Request> ScriptedServer::requests() const {
  const std::scoped_lock lock(mutex_);
  return requests_;
}

std::size_t ScriptedServer::count(const std::string& id) const {
  const std::vector<Request> all = requests();
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const Request& r) { return r.id == id; }));
}

std::size_t ScriptedServer::connections() const {
  const std::scoped_lock lock(mutex_);
  return connections_;
}

void ScriptedServer::keep(const Request& request) {
  const std::scoped_lock lock(mutex_);
  requests_.push_back(request);
}

// One connection: its requests in turn, and the bytes that are due on it.
class ScriptedServer::Exchange {
 public:
  Exchange(ScriptedServer& server, asio::ip::tcp::socket& socket)
      : server_(server), socket_(socket), reader_(HttpReader::Kind::request, 65536, 1 << 20) {}

  void run() {
    while (open_) {
      if (readable_before_due()) {
        read();
      } else {
        write_due();
      }
    }
  }

 private:
  // Waits for whichever comes first.
  bool readable_before_due() {
    int wait_ms = -1;
    if (!due_.empty()) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(due_.front().at - Clock::now());
      if (left.count() <= 0) return false;
      wait_ms = static_cast<int>(left.count());
    }
    pollfd look{socket_.native_handle(), POLLIN, 0};
    return ::poll(&look, 1, wait_ms) > 0;
  }

  void read() {
    char piece[4096];
    asio::error_code error;
    const std::size_t n = socket_.read_some(asio::buffer(piece), error);
    if (error) {
      open_ = false;
      return;
    }
    unread_.append(piece, n);
    take_requests();
  }

  void take_requests() {
    while (!unread_.empty() && !answering_) {
      unread_.erase(0, reader_.feed(unread_));
      if (reader_.failed()) open_ = false;
      if (reader_.failed() || !reader_.done()) return;
      Request request{reader_.target(), std::string(reader_.header("x-call-id").value_or("")),
                      reader_.take_body(), std::string(reader_.header("idempotency-key").value_or("")),
                      ++requests_};
      request.asks_close = !reader_.keep_alive();
      reader_.reset();
      server_.keep(request);
      schedule(request, server_.script_(request));
    }
  }

  void schedule(const Request& request, const ScriptedAnswer& answer) {
    const auto now = Clock::now();
    answering_ = !answer.text.empty();
    for (const StrayBytes& stray : answer.strays) due_.push_back({now + stray.at, stray.text});
    if (answering_) {
      const bool closes = request.asks_close && answer.text != kReset;
      due_.push_back({now + answer.at, closes ? with_close(answer.text) : answer.text, true, closes});
    }
    std::stable_sort(due_.begin(), due_.end(),
                     [](const DueBytes& a, const DueBytes& b) { return a.at < b.at; });
  }

  // All that is due goes out in one write, as one packet where the system can.
  void write_due() {
    std::string text;
    bool closes = false;
    const auto now = Clock::now();
    while (!due_.empty() && due_.front().at <= now) {
      text += due_.front().text;
      if (due_.front().is_answer) answering_ = false;
      closes = closes || due_.front().closes;
      due_.erase(due_.begin());
    }
    asio::error_code error;
    if (text.ends_with(kReset)) {
      socket_.set_option(asio::socket_base::linger(true, 0), error);
      socket_.close(error);
      open_ = false;
      return;
    }
    asio::write(socket_, asio::buffer(text), error);
    if (error || closes) open_ = false;
    if (open_) take_requests();
  }

  ScriptedServer& server_;
  asio::ip::tcp::socket& socket_;
  HttpReader reader_;
  std::string unread_;
  std::vector<DueBytes> due_;  // by time
  bool answering_ = false;     // a request waits for its answer
  bool open_ = true;
  int requests_ = 0;
};

void ScriptedServer::serve(const ThreadedServer::Socket& socket) {
  {
    const std::scoped_lock lock(mutex_);
    ++connections_;
  }
  asio::error_code error;
  if (greeting_) asio::write(*socket, asio::buffer(greeting_()), error);
  if (!error) Exchange(*this, *socket).run();
}

}  // namespace fennellane::standin
