// The program itself, started as a process and spoken to over loopback sockets on ephemeral ports. Nothing
// here depends on how fast the machine is: each step waits until it has happened, or for long.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <thread>

#include "http.hpp"
#include "net_fixture.hpp"

namespace fennellane::test {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace fs = std::filesystem;

inline bool happens(const std::function<bool()>& what, seconds limit = seconds(30)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!what()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

inline const std::string kReset = "reset";  // as an answer: the connection is reset

struct Request {
  std::string target, id, body;
  int nth = 1;  // on its connection
};

// An HTTP server that answers each request with the text its handler returns; an empty one is no answer.
class Server {
 public:
  using Handler = std::function<std::string(const Request&)>;
  explicit Server(Handler handler)
      : handler_(std::move(handler)), acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    port_ = acceptor_.local_endpoint().port();
    threads_.emplace_back([this] {
      while (true) {
        asio::error_code error;
        auto socket = std::make_shared<tcp::socket>(io_);
        acceptor_.accept(*socket, error);
        const std::scoped_lock lock(mutex_);
        if (error || stopping_) return;
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(*socket); });
      }
    });
  }
  ~Server() {
    {
      const std::scoped_lock lock(mutex_);
      stopping_ = true;
      for (const auto& socket : sockets_) ::shutdown(socket->native_handle(), SHUT_RDWR);
      ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    }
    threads_[0].join();
    for (std::size_t i = 1; i < threads_.size(); ++i) threads_[i].join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
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
        const Request request{reader.target(), std::string(reader.header("x-call-id").value_or("")),
                              reader.take_body(), ++nth};
        reader.reset();
        {
          const std::scoped_lock lock(mutex_);
          requests_.push_back(request);
        }
        const std::string answer = handler_(request);
        if (answer == kReset) {
          socket.set_option(asio::socket_base::linger(true, 0), error);
          socket.close(error);
          return;
        }
        asio::write(socket, asio::buffer(answer), error);
        if (error) return;
      }
    }
  }

  Handler handler_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<Request> requests_;
  std::vector<std::thread> threads_;
  bool stopping_ = false;
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
  std::size_t watches() const {
    const auto all = server_.requests();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const Request& r) {
      return r.target.find("watch=1") != std::string::npos;
    }));
  }

 private:
  std::string handle(const Request& r) {
    if (r.target == "/v1/notices") return answer("204 No Content");
    if (r.target == "/discovery/hosts") return answer("200 OK", list_);
    std::ostringstream chunk;
    chunk << std::hex << first_watch_.size() << "\r\n" << first_watch_ << "\r\n";
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.str();
  }
  std::string list_;
  std::string first_watch_;
  Server server_;
};

// An address that refuses connections.
inline std::string refusing_address() {
  asio::io_context io;
  tcp::acceptor free(io, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
}

// The program, in a folder of its own that outlasts each of its processes.
class Program {
 public:
  Program(const std::string& discovery, ConfigParts parts = {}) {
    std::string name = (fs::temp_directory_path() / "relay-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    fs::create_directory(folder_ + "/state");
    asio::io_context io;
    tcp::acceptor free(io, {asio::ip::make_address("127.0.0.1"), 0});
    port_ = free.local_endpoint().port();
    parts.listen = "127.0.0.1:" + std::to_string(port_);
    parts.discovery = discovery;
    parts_ = parts;
    replace_config(config_json(parts));
  }
  // The file in one step, as a deployment does it.
  void replace_config(const std::string& text) const {
    std::ofstream(folder_ + "/new.json") << text;
    fs::rename(folder_ + "/new.json", folder_ + "/config.json");
  }
  // The operators' settings; without a platform they are all that is read.
  void replace_settings(const std::string& text, bool platform = true) {
    std::ofstream(folder_ + "/new.sexp") << text;
    fs::rename(folder_ + "/new.sexp", folder_ + "/settings.sexp");
    platform_ = platform;
  }
  std::string state_folder() const { return folder_ + "/state"; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void move_discovery(const std::string& address) {
    parts_.discovery = address;
    replace_config(config_json(parts_));
    signal(SIGHUP);
  }
  ~Program() {
    if (pid_ > 0) end(SIGKILL);
    fs::remove_all(folder_);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void start() {
    const std::string config = "GW_CONFIG=" + folder_ + "/config.json",
                      state = "GW_STATE=" + folder_ + "/state",
                      settings = "GW_SETTINGS=" + folder_ + "/settings.sexp";
    char* const argv[] = {const_cast<char*>(FENNELLANE_PROGRAM), const_cast<char*>("serve"), nullptr};
    std::vector<char*> env = {const_cast<char*>(state.c_str())};
    if (platform_) env.push_back(const_cast<char*>(config.c_str()));
    if (fs::exists(folder_ + "/settings.sexp")) env.push_back(const_cast<char*>(settings.c_str()));
    env.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, (folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    ASSERT_EQ(posix_spawn(&pid_, FENNELLANE_PROGRAM, &files, nullptr, argv, env.data()), 0);
    posix_spawn_file_actions_destroy(&files);
    ASSERT_TRUE(happens([&] { return ask("GET /up HTTP/1.1\r\n\r\n") == 200; })) << log();
  }
  // Its exit code, or the signal that ended it, as a negative number.
  int end(int signal) {
    ::kill(pid_, signal);
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  void signal(int number) const { ::kill(pid_, number); }
  bool runs() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  std::string log() const {
    std::ifstream in(folder_ + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::size_t logged(const std::string& text) const {
    const std::string all = log();
    std::size_t n = 0;
    for (std::size_t at = 0; (at = all.find(text, at)) != std::string::npos; at += text.size()) ++n;
    return n;
  }
  // As it was last printed; asks for it to be printed again.
  std::uint64_t counter(const std::string& name) const {
    const std::size_t before = logged("counters clients");
    signal(SIGUSR1);
    happens([&] { return logged("counters clients") > before; });
    const std::string all = log();
    const std::size_t at = all.find(" " + name + "=", all.rfind("counters clients"));
    return at == std::string::npos ? 0 : std::stoull(all.substr(at + name.size() + 2));
  }
  tcp::socket connected(asio::io_context& io) const {
    tcp::socket socket(io);
    asio::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port_}, error);
    return socket;
  }
  // The status of the answer to a text sent on a new connection; 0 if there is none.
  unsigned ask(const std::string& text, bool end_sending = false) const {
    asio::io_context io;
    tcp::socket socket(io);
    asio::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port_}, error);
    if (!error) asio::write(socket, asio::buffer(text), error);
    if (end_sending) socket.shutdown(tcp::socket::shutdown_send, error);
    HttpReader reader(HttpReader::Kind::response, 65536, 65536);
    char piece[4096];
    while (!reader.done() && !reader.failed()) {
      const std::size_t n = socket.read_some(asio::buffer(piece), error);
      if (error) return 0;
      reader.feed({piece, n});
    }
    return reader.status();
  }

 private:
  std::string folder_;
  ConfigParts parts_;
  bool platform_ = true;
  std::uint16_t port_ = 0;
  pid_t pid_ = 0;
};

}  // namespace fennellane::test
