// What the cases of this review share: small stand-ins for clients, endpoints and the platform, written from
// the protocol page, and the relay's program as a process of its own. POSIX and threads only. All addresses
// are on 127.0.0.1, all ports are free ones of the system, all files are in a temporary folder.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point started() {
  static const Clock::time_point at = Clock::now();
  return at;
}
inline double ms_since_start(Clock::time_point at = Clock::now()) {
  return std::chrono::duration<double, std::milli>(at - started()).count();
}
inline void sleep_ms(long ms) { std::this_thread::sleep_for(Ms(ms)); }

// record.txt: one line for each thing that was sent, answered or run, with its time.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void operator()(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%10.1f ", ms_since_start());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record record;

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}
// A bound socket that doesn't listen: the port stays ours, and a program that sets SO_REUSEADDR can listen on
// it.
inline int reserve_port(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(0);
  socklen_t size = sizeof at;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::runtime_error("no free port");
  port = ntohs(at.sin_port);
  return fd;
}

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  bool wants_close() const { return header("connection") == "close"; }
};

// A connection, blocking, with what has been read and not used yet.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  int fd() const { return fd_; }
  void close() {
    const std::lock_guard lock(mutex_);
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void shutdown() {
    const std::lock_guard lock(mutex_);
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  void reset() {
    const std::lock_guard lock(mutex_);
    if (fd_ < 0) return;
    const linger hard{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd_);
    fd_ = -1;
  }
  bool write(const std::string& text) {
    std::size_t at = 0;
    while (at < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // False at the end, on an error, or at the time limit.
  bool read_more(Clock::time_point until = Clock::time_point::max()) {
    while (true) {
      int wait = -1;
      if (until != Clock::time_point::max()) {
        const auto left = std::chrono::ceil<Ms>(until - Clock::now()).count();
        if (left <= 0) return false;
        wait = static_cast<int>(left);
      }
      pollfd p{fd_, POLLIN, 0};
      const int ready = ::poll(&p, 1, wait);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) return false;
      char buffer[16384];
      const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      in_.append(buffer, static_cast<std::size_t>(n));
      return true;
    }
  }
  // One message with a Content-Length, or none; the first line goes to `first`.
  bool read_message(std::string& first, std::map<std::string, std::string>& headers, std::string& body,
                    Clock::time_point until = Clock::time_point::max(),
                    const std::function<void()>& first_byte = {}) {
    bool told = false;
    std::size_t end;
    while (true) {
      if (!in_.empty() && !told) {
        told = true;
        if (first_byte) first_byte();
      }
      if ((end = in_.find("\r\n\r\n")) != std::string::npos) break;
      if (!read_more(until)) return false;
    }
    std::istringstream head(in_.substr(0, end));
    in_.erase(0, end + 4);
    std::getline(head, first);
    if (!first.empty() && first.back() == '\r') first.pop_back();
    headers.clear();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon), value = line.substr(colon + 1);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      value.erase(
          0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
      headers[name] = value;
    }
    const std::size_t size = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (in_.size() < size) {
      if (!read_more(until)) return false;
    }
    body = in_.substr(0, size);
    in_.erase(0, size);
    return true;
  }
  bool read_request(Request& request, const std::function<void()>& first_byte = {}) {
    std::string first;
    if (!read_message(first, request.headers, request.body, Clock::time_point::max(), first_byte))
      return false;
    std::istringstream line(first);
    line >> request.method >> request.target;
    return true;
  }

 private:
  std::mutex mutex_;
  int fd_;
  std::string in_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

inline ConnectionPtr connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = loopback(port);
  if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0)
    return std::make_shared<Connection>(fd);
  if (fd >= 0) ::close(fd);
  return nullptr;
}

// A listener with a thread for each connection. It can stop listening (new ones are refused) and come back.
class Server {
 public:
  explicit Server(std::function<void(Connection&)> serve) : serve_(std::move(serve)) {
    reserved_ = reserve_port(port_);
    open();
  }
  ~Server() { stop(); }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // New connections are refused and the open ones are reset, as when a process dies.
  void down() {
    if (listener_ >= 0) {
      closing_ = true;
      ::shutdown(listener_, SHUT_RDWR);
      accepting_.join();
      ::close(listener_);
      listener_ = -1;
    }
    const std::lock_guard lock(mutex_);
    for (const auto& weak : connections_) {
      if (const auto c = weak.lock()) {
        const linger hard{1, 0};
        ::setsockopt(c->fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        c->shutdown();
      }
    }
  }
  void up() {
    if (listener_ < 0) open();
  }
  void stop() {
    if (stopped_.exchange(true)) return;
    down();
    for (std::thread& t : threads_) t.join();
    ::close(reserved_);
  }

 private:
  void open() {
    closing_ = false;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(port_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(listener_, 512) != 0)
      throw std::runtime_error("cannot listen");
    accepting_ = std::thread([this] { accept(); });
  }
  void accept() {
    while (!closing_) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (closing_) return;
        sleep_ms(1);
        continue;
      }
      const auto connection = std::make_shared<Connection>(fd);
      const std::lock_guard lock(mutex_);
      std::erase_if(connections_, [](const auto& w) { return w.expired(); });
      connections_.push_back(connection);
      threads_.emplace_back([this, connection] {
        serve_(*connection);
        connection->close();
      });
    }
  }

  const std::function<void(Connection&)> serve_;
  int port_ = 0, reserved_ = -1, listener_ = -1;
  std::atomic<bool> closing_ = false, stopped_ = false;
  std::thread accepting_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::list<std::thread> threads_;
};

// --- An endpoint. Each call's answer is made by a function; all is kept.
struct Call {
  std::string endpoint, id, key, body;
  int number = 0;  // of this id's calls, over all endpoints of the run, from 0
  Clock::time_point first_byte, last_byte, answered{};
  bool asked_close = false;
};
struct Reply {
  int status = 200;
  std::string headers;  // whole lines
  long after_ms = 20;   // -1: never, the connection stays open and silent
  bool close = false;   // `Connection: close`, and the connection is closed behind the answer
};
class CallLog {
 public:
  std::size_t add(Call call) {
    const std::lock_guard lock(mutex_);
    call.number = counts_[call.id]++;
    calls_.push_back(std::move(call));
    return calls_.size() - 1;
  }
  void answered(std::size_t at) {
    const std::lock_guard lock(mutex_);
    calls_[at].answered = Clock::now();
  }
  std::vector<Call> all() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  Call at(std::size_t i) const {
    const std::lock_guard lock(mutex_);
    return calls_[i];
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Call> calls_;
  std::map<std::string, int> counts_;
};

class Endpoint {
 public:
  using Answer = std::function<Reply(const Call&)>;
  Endpoint(std::string name, CallLog& log, Answer answer)
      : name_(std::move(name)),
        log_(log),
        answer_(std::move(answer)),
        server_([this](Connection& c) { serve(c); }) {}
  ~Endpoint() {
    stopping_ = true;
    server_.stop();
  }
  const std::string& name() const { return name_; }
  std::string address() const { return server_.address(); }
  void down() { server_.down(); }
  void up() { server_.up(); }

 private:
  void serve(Connection& c) {
    while (true) {
      Request request;
      Call call;
      if (!c.read_request(request, [&] { call.first_byte = Clock::now(); })) return;
      call.last_byte = Clock::now();
      call.endpoint = name_;
      call.id = request.header("x-call-id");
      call.key = request.header("idempotency-key");
      call.body = request.body;
      call.asked_close = request.wants_close();
      const std::size_t at = log_.add(call);
      call = log_.at(at);
      record("call      %s id=%s attempt=%d", name_.c_str(), call.id.c_str(), call.number);
      const Reply reply = answer_(call);
      for (long waited = 0; !stopping_ && (reply.after_ms < 0 || waited < reply.after_ms);) {
        const long step = reply.after_ms < 0 ? 20 : std::min(20L, reply.after_ms - waited);
        pollfd p{c.fd(), POLLRDHUP, 0};
        if (::poll(&p, 1, static_cast<int>(step)) > 0) {
          record("given up  %s id=%s", name_.c_str(), call.id.c_str());
          return;
        }
        waited += step;
      }
      if (stopping_) return;
      const bool close = reply.close || call.asked_close;
      const bool written =
          c.write("HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Length: 0\r\n" + reply.headers +
                  (close ? "Connection: close\r\n" : "") + "\r\n");
      log_.answered(at);
      std::string shown = reply.headers;
      std::replace(shown.begin(), shown.end(), '\r', ' ');
      std::replace(shown.begin(), shown.end(), '\n', ' ');
      record("answer    %s id=%s %d %s%s%s", name_.c_str(), call.id.c_str(), reply.status, shown.c_str(),
             close ? "Connection: close" : "", written ? "" : " (not written)");
      if (!written || close) return;
    }
  }

  const std::string name_;
  CallLog& log_;
  const Answer answer_;
  std::atomic<bool> stopping_ = false;
  Server server_;
};

// --- The platform: discovery (lists and watches) and notices.
struct Host {
  std::string id, address;
  int cell = 0;
  std::string state = "ready", kind = "partner", zone = "z";
  double weight = 100;
  long long started_ms = 0;
};
inline std::string host_json(const Host& h) {
  return "{\"id\":\"" + h.id + "\",\"addr\":\"" + h.address + "\",\"zone\":\"" + h.zone + "\",\"kind\":\"" +
         h.kind + "\",\"cell\":" + std::to_string(h.cell) + ",\"state\":\"" + h.state +
         "\",\"weight\":" + std::to_string(h.weight) + ",\"started_ms\":" + std::to_string(h.started_ms) +
         "}";
}
inline std::string list_json(const std::vector<Host>& hosts, long version, bool full) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (std::size_t i = 0; i < hosts.size(); ++i) text += (i ? "," : "") + host_json(hosts[i]);
  return text + "]}";
}
struct Notice {
  std::string id, status;
  Clock::time_point at;
};
class Platform {
 public:
  explicit Platform(std::vector<Host> hosts, long version = 1)
      : version_(version), server_([this](Connection& c) { serve(c); }) {
    for (Host& h : hosts) lines_.push_back({std::move(h), version});
  }
  ~Platform() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
  }
  std::string address() const { return server_.address(); }
  void change(const Host& host) {
    {
      const std::lock_guard lock(mutex_);
      ++version_;
      bool found = false;
      for (auto& line : lines_) {
        if (line.first.id != host.id) continue;
        line = {host, version_};
        found = true;
      }
      if (!found) lines_.push_back({host, version_});
      record("discovery version %ld: %s is %s", version_, host.id.c_str(), host.state.c_str());
    }
    changed_.notify_all();
  }
  // While it is silent it answers no list and no watch, and learns nothing; notices are answered all the
  // same.
  void silence(bool on) {
    {
      const std::lock_guard lock(mutex_);
      silent_ = on;
    }
    record("discovery %s", on ? "is silent" : "answers again");
    changed_.notify_all();
  }
  std::vector<Notice> notices() const {
    const std::lock_guard lock(mutex_);
    return notices_;
  }
  std::size_t watches() const { return watches_; }
  // When the line of this host with this version was first written to a watch or in a list.
  std::optional<Clock::time_point> told(const std::string& id, const std::string& state) const {
    const std::lock_guard lock(mutex_);
    const auto it = told_.find(id + "=" + state);
    return it == told_.end() ? std::nullopt : std::optional(it->second);
  }

 private:
  void note_told(const std::vector<Host>& hosts) {
    for (const Host& h : hosts) told_.emplace(h.id + "=" + h.state, Clock::now());
  }
  std::vector<Host> current() const {
    std::vector<Host> hosts;
    for (const auto& line : lines_)
      if (line.first.state != "gone") hosts.push_back(line.first);
    return hosts;
  }
  void serve(Connection& c) {
    Request request;
    while (c.read_request(request)) {
      if (request.method == "POST" && request.target == "/v1/notices") {
        take_notices(request.body);
        if (!c.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !silent_; });
      if (stopping_) return;
      if (request.target.find("watch=1") == std::string::npos) {
        const std::vector<Host> hosts = current();
        note_told(hosts);
        const std::string body = list_json(hosts, version_, true) + "\n";
        lock.unlock();
        if (!c.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
          return;
        continue;
      }
      const std::size_t after = request.target.find("after=");
      long known = after == std::string::npos ? 0 : std::atol(request.target.c_str() + after + 6);
      lock.unlock();
      if (!c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
      ++watches_;
      follow(c, known);
      --watches_;
      return;
    }
  }
  void follow(Connection& c, long known) {
    const auto chunk = [&c](const std::string& text) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return c.write(size + text + "\r\n");
    };
    bool first = true;
    while (true) {
      std::unique_lock lock(mutex_);
      if (!first)
        changed_.wait_for(lock, std::chrono::seconds(2),
                          [&] { return stopping_ || (!silent_ && version_ > known); });
      if (stopping_) return;
      if (silent_) {
        changed_.wait(lock, [this] { return stopping_ || !silent_; });
        continue;
      }
      std::string text;
      if (first && known == 0) {
        const std::vector<Host> hosts = current();
        note_told(hosts);
        text = list_json(hosts, version_, true);
      } else if (version_ > known) {
        std::vector<Host> hosts;
        for (const auto& line : lines_)
          if (line.second > known) hosts.push_back(line.first);
        note_told(hosts);
        text = list_json(hosts, version_, false);
      }
      known = version_;
      first = false;
      lock.unlock();
      if (!chunk(text + "\n")) return;
    }
  }
  void take_notices(const std::string& body) {
    std::istringstream lines(body);
    const std::lock_guard lock(mutex_);
    for (std::string line; std::getline(lines, line);) {
      const auto value = [&line](const std::string& name) {
        const std::size_t at = line.find("\"" + name + "\":\"");
        if (at == std::string::npos) return std::string();
        const std::size_t begin = at + name.size() + 4;
        return line.substr(begin, line.find('"', begin) - begin);
      };
      if (value("id").empty()) continue;
      notices_.push_back({value("id"), value("status"), Clock::now()});
      record("notice    id=%s %s", value("id").c_str(), value("status").c_str());
    }
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<Host, long>> lines_;
  std::map<std::string, Clock::time_point> told_;
  long version_;
  bool stopping_ = false, silent_ = false;
  std::vector<Notice> notices_;
  std::atomic<std::size_t> watches_ = 0;
  Server server_;
};

// --- A client: one connection, one request at a time, 400 ms for an answer.
struct Submission {
  std::string id, message_class, key, body = "body";
  int destination = 0;
  long budget_ms = 20000;
  std::string tenant;
};
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  // The status; 0: no answer within 400 ms, or the connection ended; -1: not connected.
  int submit(const Submission& s) {
    const std::string text =
        "POST /" + s.message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + s.id +
        "\r\nX-Call-Class: " + s.message_class + (s.tenant.empty() ? "" : "\r\nX-Caller: " + s.tenant) +
        "\r\nX-Budget-Ms: " + std::to_string(s.budget_ms) +
        (s.key.empty() ? "" : "\r\nIdempotency-Key: " + s.key) +
        "\r\nX-Consignee: dest=" + std::to_string(s.destination) +
        "\r\nContent-Length: " + std::to_string(s.body.size()) + "\r\n\r\n" + s.body;
    const bool kept = connection_ != nullptr;
    int status = exchange(text);
    // A connection closed between requests crosses a request that was not read: once more on a new one.
    if (status == 0 && kept && closed_) status = exchange(text);
    record("submitted id=%s %s dest=%d: %d", s.id.c_str(), s.message_class.c_str(), s.destination, status);
    return status;
  }

 private:
  int exchange(const std::string& text) {
    closed_ = false;
    if (!connection_) connection_ = connect_to(port_);
    if (!connection_) return -1;
    const auto until = Clock::now() + Ms(400);
    std::string first, body;
    std::map<std::string, std::string> headers;
    if (!connection_->write(text) || !connection_->read_message(first, headers, body, until)) {
      closed_ = Clock::now() < until;
      connection_.reset();
      return 0;
    }
    if (headers["connection"] == "close") connection_.reset();
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }

  const int port_;
  ConnectionPtr connection_;
  bool closed_ = false;
};

// --- The relay, started by the `run` line of the deploy file, in a folder that outlasts its processes.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    path_ = std::string(base && *base ? base : "/tmp") + "/review-2.XXXXXX";
    if (!::mkdtemp(path_.data())) throw std::runtime_error("no temporary folder");
  }
  ~Folder() {
    if (!std::getenv("KEEP")) (void)!std::system(("rm -rf '" + path_ + "'").c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};
inline std::string repository() {
  const char* root = std::getenv("REPOSITORY");
  return root && *root ? root : ".";
}
// What deploy/balancer.toml runs.
inline std::string run_line() {
  std::ifstream file(repository() + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.find('"', 7) - 7);
  }
  throw std::runtime_error("deploy/balancer.toml has no run line");
}
class Relay {
 public:
  explicit Relay(std::string name = "n1") : name_(std::move(name)) {
    reserved_ = reserve_port(port_);
    (void)!std::system(("mkdir -p '" + folder_.path() + "/state'").c_str());
  }
  ~Relay() {
    end(SIGKILL);
    ::close(reserved_);
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }
  int status() const { return status_; }  // of the last that ended by itself
  void configure(const std::string& json) { replace("config.json", json); }
  void settings(const std::string& sexp) {
    replace("settings.sexp", sexp);
    has_settings_ = true;
  }
  // Returns once GET /up is answered 200.
  void start() {
    launch();
    if (!await_ready()) throw std::runtime_error("the relay is not ready: " + log());
  }
  void launch() {
    const std::string command = "cd '" + repository() + "' && " + run_line();
    const std::string log = folder_.path() + "/log";
    pid_ = ::fork();
    if (pid_ < 0) throw std::runtime_error("cannot fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives the case
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("GW_NAME", name_.c_str(), 1);
      ::setenv("GW_LISTEN", address().c_str(), 1);
      ::setenv("GW_STATE", (folder_.path() + "/state").c_str(), 1);
      ::setenv("GW_CONFIG", (folder_.path() + "/config.json").c_str(), 1);
      if (has_settings_) ::setenv("GW_SETTINGS", (folder_.path() + "/settings.sexp").c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record("relay     %s started, process %d", name_.c_str(), static_cast<int>(pid_.load()));
  }
  // False if it ends, or isn't ready within 30 s, in which a start has to be ready.
  bool await_ready() {
    for (const auto limit = Clock::now() + std::chrono::seconds(30); Clock::now() < limit; sleep_ms(20)) {
      if (ended()) return false;
      if (ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n") == 200) {
        record("relay     %s is ready", name_.c_str());
        return true;
      }
    }
    return false;
  }
  int ask(const std::string& text) const {
    const ConnectionPtr c = connect_to(port_);
    std::string first, body;
    std::map<std::string, std::string> headers;
    if (!c || !c->write(text) ||
        !c->read_message(first, headers, body, Clock::now() + std::chrono::seconds(1)))
      return 0;
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
  void signal(int number) const {
    record("relay     %s gets signal %d", name_.c_str(), number);
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether it has ended by itself.
  bool ended() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return pid_ <= 0;
    status_ = status;
    record("relay     %s has ended by itself, %s %d", name_.c_str(), WIFSIGNALED(status) ? "signal" : "code",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    pid_ = 0;
    return true;
  }
  void end(int number) {
    if (pid_ <= 0) return;
    signal(number);
    int status = 0;
    for (const auto kill_at = Clock::now() + Ms(3700); ::waitpid(pid_, &status, WNOHANG) == 0; sleep_ms(5)) {
      if (Clock::now() > kill_at) ::kill(pid_, SIGKILL);
    }
    record("relay     %s has ended with status %d", name_.c_str(), status);
    pid_ = 0;
  }
  std::string log() const {
    std::ifstream file(folder_.path() + "/log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  bool logged(const std::string& text) const { return log().find(text) != std::string::npos; }
  std::string state_folder() const { return folder_.path() + "/state"; }

 private:
  void replace(const std::string& file, const std::string& text) const {
    const std::string path = folder_.path() + "/" + file;
    std::ofstream(path + ".new") << text;
    if (std::rename((path + ".new").c_str(), path.c_str()) != 0)
      throw std::runtime_error("cannot write " + path);
  }

  const std::string name_;
  Folder folder_;
  int port_ = 0, reserved_ = -1;
  std::atomic<pid_t> pid_ = 0;
  int status_ = 0;
  bool has_settings_ = false;
};

inline bool wait_for(const std::function<bool()>& what, long limit_ms) {
  for (const auto limit = Clock::now() + Ms(limit_ms); Clock::now() < limit; sleep_ms(5))
    if (what()) return true;
  return what();
}

inline bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

// A case: 1 where the rule was broken, 0 where it held, 2 where the case could not run.
inline int run_case(const std::string& record_path, const std::function<bool()>& rule_held) {
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(115);
  started();
  record.open(record_path);
  record("%s", trouble() ? "with the disruption" : "TROUBLE=0: without the disruption");
  try {
    const bool held = rule_held();
    record(held ? "the rule held" : "THE RULE WAS BROKEN");
    return held ? 0 : 1;
  } catch (const std::exception& e) {
    record("could not run: %s", e.what());
    std::fprintf(stderr, "could not run: %s\n", e.what());
    return 2;
  }
}

}  // namespace lab
