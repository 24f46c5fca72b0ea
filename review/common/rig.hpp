// What the cases of this review share: a relay started with the command of the deploy file, and small
// stand-ins for clients, servers and the platform, on loopback sockets and the real clock. POSIX calls only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
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

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline const Clock::time_point kStart = Clock::now();
inline long ms_now() {
  return static_cast<long>(std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count());
}
inline void sleep_ms(long ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// False where TROUBLE=0 asks for the run without the disruption.
inline bool trouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// --- record.txt
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%7ld ms  ", ms_now());
    file_ << at << text << "\n" << std::flush;
  }
  void summary(const std::string& text) {
    line(text);
    const std::scoped_lock lock(mutex_);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline std::string text_of(const char* form, va_list arguments) {
  char text[2048];
  std::vsnprintf(text, sizeof text, form, arguments);
  return text;
}
__attribute__((format(printf, 1, 2))) inline void note(const char* form, ...) {
  va_list arguments;
  va_start(arguments, form);
  Record::get().line(text_of(form, arguments));
  va_end(arguments);
}
__attribute__((format(printf, 1, 2))) inline void say(const char* form, ...) {
  va_list arguments;
  va_start(arguments, form);
  Record::get().summary(text_of(form, arguments));
  va_end(arguments);
}

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline bool happens(const std::function<bool()>& what, long limit_ms) {
  const long end = ms_now() + limit_ms;
  while (!what()) {
    if (ms_now() > end) return false;
    sleep_ms(1);
  }
  return true;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) throw CannotRun("getsockname");
  return ntohs(address.sin_port);
}
// Bound, not listening: keeps a port for one that binds it with SO_REUSEADDR, and refuses connections
// meanwhile.
inline int reserve_port(int port = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw CannotRun("no free port");
  return fd;
}
inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// --- HTTP messages
struct Message {
  std::string first_line, method, target;
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};
// Takes one whole message with a Content-Length (or none) off the front of `text`.
inline std::optional<Message> take_message(std::string& text) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  Message message;
  std::istringstream head(text.substr(0, end));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = static_cast<std::size_t>(std::atol(message.header("content-length").c_str()));
  if (text.size() < end + 4 + length) return std::nullopt;
  message.body = text.substr(end + 4, length);
  text.erase(0, end + 4 + length);
  std::istringstream first(message.first_line);
  std::string word;
  first >> message.method >> message.target;
  message.status = message.method.rfind("HTTP/", 0) == 0 ? std::atoi(message.target.c_str()) : 0;
  return message;
}
inline std::string answer_text(int status, const std::string& more = "", const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + more + "\r\n" + body;
}

// --- A server: a thread for each connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  bool write(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Whether the other side has ended the connection.
  bool ended() const {
    char byte;
    const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(fd_, SHUT_RD);
    close_after = true;
  }
  int fd() const { return fd_; }
  bool close_after = false;

 private:
  int fd_;
};

class Server {
 public:
  // Returns after the answer is written; the connection stays open unless `close_after` is set.
  using Handler = std::function<void(Connection&, const Message&)>;
  explicit Server(Handler handler, int port = 0)
      : handler_(std::move(handler)), listener_(reserve_port(port)) {
    if (::listen(listener_, 1024) != 0) throw CannotRun("cannot listen");
    port_ = port_of(listener_);
    threads_.emplace_back([this] { accept_all(); });
  }
  ~Server() { stop(); }
  int port() const { return port_; }
  std::string address() const { return address_of(port_); }
  bool stopping() const { return stopping_; }
  // Ends all connections and refuses new ones.
  void stop() {
    if (stopping_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    {
      const std::scoped_lock lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    threads_.front().join();
    ::close(listener_);
    for (std::size_t i = 1;; ++i) {
      std::unique_lock lock(mutex_);
      if (i >= threads_.size()) break;
      std::thread& thread = threads_[i];
      lock.unlock();
      thread.join();
    }
  }
  std::size_t connections() const { return connections_; }

 private:
  void accept_all() {
    while (!stopping_) {
      pollfd polled{listener_, POLLIN, 0};
      if (::poll(&polled, 1, 50) <= 0) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++connections_;
      const std::scoped_lock lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    Connection connection(fd);
    std::string text;
    char piece[65536];
    while (!stopping_ && !connection.close_after) {
      pollfd polled{fd, POLLIN, 0};
      if (::poll(&polled, 1, 100) == 0) continue;
      const ssize_t n = ::recv(fd, piece, sizeof piece, 0);
      if (n <= 0) break;
      text.append(piece, static_cast<std::size_t>(n));
      while (!connection.close_after) {
        const auto message = take_message(text);
        if (!message) break;
        handler_(connection, *message);
      }
    }
    const std::scoped_lock lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }

  const Handler handler_;
  const int listener_;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> connections_{0};
  std::mutex mutex_;
  std::set<int> open_;
  std::deque<std::thread> threads_;
};

// --- The platform: discovery with a watch, and notices.
class Platform {
 public:
  explicit Platform(std::string list)
      : list_(std::move(list)), server_([this](Connection& c, const Message& m) { serve(c, m); }) {}
  std::string address() const { return server_.address(); }
  // A change: the whole list as it is from now on, and what changed, as one line each.
  void change(const std::string& list, const std::string& changed, int version) {
    const std::scoped_lock lock(mutex_);
    list_ = list;
    changes_.emplace_back(version, changed);
    version_ = version;
  }
  std::map<std::string, std::string> notices() const {
    const std::scoped_lock lock(mutex_);
    return notices_;
  }
  void stop() { server_.stop(); }

 private:
  void serve(Connection& connection, const Message& m) {
    if (m.method == "POST" && m.target == "/v1/notices") {
      std::istringstream lines(m.body);
      std::string line;
      while (std::getline(lines, line)) {
        const auto value = [&line](const std::string& name) {
          const std::string start = "\"" + name + "\":\"";
          const std::size_t at = line.find(start);
          if (at == std::string::npos) return std::string();
          return line.substr(at + start.size(), line.find('"', at + start.size()) - at - start.size());
        };
        note("platform  notice %s", line.c_str());
        const std::scoped_lock lock(mutex_);
        notices_.emplace(value("id"), value("status"));
      }
      connection.write("HTTP/1.1 204 No Content\r\n\r\n");
      return;
    }
    if (m.target == "/discovery/hosts") {
      std::unique_lock lock(mutex_);
      const std::string list = list_;
      lock.unlock();
      connection.write(answer_text(200, "", list));
      return;
    }
    const std::size_t after = m.target.find("after=");
    if (after == std::string::npos) {
      connection.write(answer_text(404));
      return;
    }
    int known = std::atoi(m.target.c_str() + after + 6);
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto chunk = [&connection](const std::string& text) {
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return connection.write(size + text + "\r\n");
    };
    bool first = true;
    long beat = ms_now();
    while (!server_.stopping()) {
      std::vector<std::string> lines;
      {
        const std::scoped_lock lock(mutex_);
        if (first && known > version_) {
          lines.push_back(list_);
          known = version_;
        }
        for (const auto& [version, text] : changes_)
          if (version > known) lines.push_back(text), known = version;
      }
      if (first && lines.empty()) lines.push_back("");
      first = false;
      for (const std::string& line : lines)
        if (!chunk(line + "\n")) return;
      if (ms_now() - beat >= 2000) {
        beat = ms_now();
        if (!chunk("\n")) return;
      }
      if (connection.ended()) break;
      sleep_ms(5);
    }
    connection.close_after = true;
  }

  mutable std::mutex mutex_;
  std::string list_;
  int version_ = 1;
  std::vector<std::pair<int, std::string>> changes_;
  std::map<std::string, std::string> notices_;
  Server server_;  // last, since its threads use all the others
};

struct Host {
  std::string id, address;
  int cell = 1;
  std::string state = "ready", zone = "z", kind = "bank";
  double weight = 50;
};
inline std::string list_json(const std::vector<Host>& hosts, int version = 1, bool full = true) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (const Host& h : hosts) {
    if (text.back() == '}') text += ",";
    text += "{\"id\":\"" + h.id + "\",\"addr\":\"" + h.address + "\",\"zone\":\"" + h.zone +
            "\",\"kind\":\"" + h.kind + "\",\"cell\":" + std::to_string(h.cell) + ",\"state\":\"" + h.state +
            "\",\"weight\":" + std::to_string(h.weight) + ",\"started_ms\":0}";
  }
  return text + "]}";
}

// --- The relay, by the `run` of the deploy file.
class Relay {
 public:
  // `folder`: temporary; the state folder is made in it.
  Relay(std::string folder, std::string name) : folder_(std::move(folder)), name_(std::move(name)) {
    reserved_ = reserve_port();
    port_ = port_of(reserved_);
    std::filesystem::create_directories(state());
    std::filesystem::create_directories(folder_ + "/tmp-" + name_);
    std::ifstream deploy("deploy/balancer.toml");
    for (std::string line; std::getline(deploy, line);) {
      if (line.rfind("run = \"", 0) == 0) run_ = line.substr(7, line.rfind('"') - 7);
    }
    if (run_.empty()) throw CannotRun("deploy/balancer.toml names no run");
  }
  ~Relay() {
    if (pid_ > 0) {
      end(SIGKILL);
      ::kill(-group_, SIGKILL);
    }
    ::close(reserved_);
  }
  Relay(const Relay&) = delete;
  std::string state() const { return folder_ + "/state-" + name_; }
  std::string config_path() const { return folder_ + "/config-" + name_ + ".json"; }
  std::string settings_path() const { return folder_ + "/settings-" + name_ + ".sexp"; }
  std::string log_path() const { return folder_ + "/log-" + name_; }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string address() const { return address_of(port_); }
  void write_config(const std::string& text) { replace(config_path(), text); }
  void write_settings(const std::string& text) { replace(settings_path(), text); }
  std::vector<std::string> more_variables;

  void start() {
    std::vector<std::string> variables = more_variables;
    variables.push_back("GW_NAME=" + name_);
    variables.push_back("GW_LISTEN=" + address());
    variables.push_back("GW_STATE=" + state());
    variables.push_back("TMPDIR=" + folder_ + "/tmp-" + name_);
    variables.push_back("PATH=/usr/bin:/bin");
    if (std::filesystem::exists(config_path())) variables.push_back("GW_CONFIG=" + config_path());
    if (std::filesystem::exists(settings_path())) variables.push_back("GW_SETTINGS=" + settings_path());
    std::vector<char*> environment;
    for (std::string& v : variables) environment.push_back(v.data());
    environment.push_back(nullptr);
    const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const char* const arguments[] = {"/bin/sh", "-c", run_.c_str(), nullptr};
    const pid_t child = ::fork();
    if (child < 0) throw CannotRun("fork");
    if (child == 0) {
      ::setpgid(0, 0);
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execve(arguments[0], const_cast<char* const*>(arguments), environment.data());
      ::_exit(127);
    }
    ::setpgid(child, child);
    ::close(log);
    pid_ = group_ = child;
    note("relay     %s started", name_.c_str());
  }
  // One look at GET /up.
  bool ready() const;
  void await_ready(long limit_ms = 15000) {
    if (!happens([this] { return ready() || gone(); }, limit_ms) || gone())
      throw CannotRun("the relay does not become ready:\n" + log());
    note("relay     %s ready", name_.c_str());
  }
  void signal(int number) {
    note("relay     %s gets signal %d", name_.c_str(), number);
    if (pid_ > 0) ::kill(pid_, number);
  }
  bool gone() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    note("relay     %s has ended: %s %d", name_.c_str(), WIFSIGNALED(status) ? "signal" : "code",
         WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    return true;
  }
  void end(int number) {
    if (pid_ <= 0) return;
    signal(number);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
    note("relay     %s has ended", name_.c_str());
  }
  std::string log() const {
    std::ifstream in(log_path());
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  static void replace(const std::string& path, const std::string& text) {
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
  }
  const std::string folder_, name_;
  std::string run_;
  int reserved_ = -1, port_ = 0;
  pid_t pid_ = 0, group_ = 0;
};

// --- A client: one request at a time on a connection that it keeps; it waits 400 ms for an answer.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  Client(const Client&) = delete;
  Client(Client&& other) noexcept : port_(other.port_), fd_(other.fd_) { other.fd_ = -1; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // The status, or 0: no answer in time, or the connection ended without one.
  int ask(const std::string& text, long limit_ms = 400) {
    const bool kept = fd_ >= 0;
    const int status = try_once(text, limit_ms);
    // A connection that the relay closed between two requests: once more, on a new one.
    if (status == 0 && kept && closed_unread_) return try_once(text, limit_ms);
    return status;
  }

 private:
  int try_once(const std::string& text, long limit_ms) {
    const long end = ms_now() + limit_ms;
    closed_unread_ = false;
    if (fd_ < 0) {
      fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in to = loopback(port_);
      if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close();
        return 0;
      }
      const int on = 1;
      ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    if (::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
      close();
      closed_unread_ = true;
      return 0;
    }
    std::string in;
    char piece[4096];
    while (true) {
      const long left = end - ms_now();
      pollfd polled{fd_, POLLIN, 0};
      if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left)) <= 0) {
        close();
        return 0;
      }
      const ssize_t n = ::recv(fd_, piece, sizeof piece, 0);
      if (n <= 0) {
        close();
        closed_unread_ = in.empty();
        return 0;
      }
      in.append(piece, static_cast<std::size_t>(n));
      const auto answer = take_message(in);
      if (!answer) continue;
      if (answer->header("connection") == "close") close();
      return answer->status;
    }
  }
  int port_;
  int fd_ = -1;
  bool closed_unread_ = false;
};
inline bool Relay::ready() const {
  Client client(port_);
  return client.ask("GET /up HTTP/1.1\r\nHost: relay\r\n\r\n", 1000) == 200;
}

inline std::string submission(const std::string& id, const std::string& message_class, int destination,
                              long budget_ms, const std::string& caller = "attiki",
                              const std::string& body = "order", const std::string& more = "") {
  return "POST /" + message_class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id +
         "\r\nX-Call-Class: " + message_class + "\r\nX-Caller: " + caller +
         "\r\nX-Budget-Ms: " + std::to_string(budget_ms) +
         "\r\nX-Consignee: dest=" + std::to_string(destination) + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- Frame of a case: its folder of temporary files, its record, a bound on its time.
inline std::string make_folder() {
  const char* const base = std::getenv("TMPDIR");
  std::string path = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) throw CannotRun("no temporary folder");
  return path;
}
// `argv[1]`: the path of the case's record.txt. The working directory is the project's root.
inline int run_case(int argc, char** argv, const std::function<int(const std::string& folder)>& play) {
  if (argc < 2) return kCouldNotRun;
  ::signal(SIGPIPE, SIG_IGN);
  Record::get().open(argv[1]);
  ::alarm(118);  // by then it could not run; the relay's process ends with this one
  std::string folder;
  int result = kCouldNotRun;
  try {
    folder = make_folder();
    result = play(folder);
  } catch (const std::exception& e) {
    say("could not run: %s", e.what());
  }
  if (!folder.empty()) {
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder);
  }
  say("%s%s",
      result == kHeld     ? "HELD"
      : result == kBroken ? "BROKEN"
                          : "COULD NOT RUN",
      trouble() ? "" : " (TROUBLE=0)");
  return result;
}

}  // namespace rig
