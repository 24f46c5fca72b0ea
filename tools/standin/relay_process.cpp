#include "relay_process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "http.hpp"

namespace fennellane::standin {

using asio::ip::tcp;
namespace fs = std::filesystem;

bool happens(const std::function<bool()>& what, std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  constexpr int kSoon = 50;  // looks that come close on one another
  for (int look = 0; !what(); ++look) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(look < kSoon ? 1 : 10));
  }
  return true;
}

RelayProcess::RelayProcess(std::string program, std::string host)
    : program_(std::move(program)), host_(std::move(host)) {
  fs::create_directory(state_folder());
  // Guards the port against being given to another relay, or to a connection, before this one has it and
  // while it is down: a bound socket that does not listen keeps it from all that do not name it.
  reserved_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  socklen_t size = sizeof address;
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  if (reserved_ < 0 || ::inet_pton(AF_INET, host_.c_str(), &address.sin_addr) != 1 ||
      ::setsockopt(reserved_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(reserved_, any, size) != 0 || ::getsockname(reserved_, any, &size) != 0)
    throw std::runtime_error("no port for the relay at " + host_);
  port_ = ntohs(address.sin_port);
}

RelayProcess::~RelayProcess() {
  if (pid_ > 0) end(SIGKILL);
  ::close(reserved_);
}

void RelayProcess::replace(const std::string& name, const std::string& text) const {
  std::ofstream(folder() + "/new") << text;
  fs::rename(folder() + "/new", folder() + "/" + name);
}
void RelayProcess::replace_config(const std::string& json) { replace("config.json", json); }
void RelayProcess::replace_settings(const std::string& sexp) { replace("settings.sexp", sexp); }

void RelayProcess::start() {
  std::vector<std::string> variables = variables_;
  variables.push_back("GW_STATE=" + state_folder());
  if (fs::exists(folder() + "/config.json")) variables.push_back("GW_CONFIG=" + folder() + "/config.json");
  if (fs::exists(folder() + "/settings.sexp"))
    variables.push_back("GW_SETTINGS=" + folder() + "/settings.sexp");
  std::vector<char*> environment;
  for (std::string& v : variables) environment.push_back(v.data());
  environment.push_back(nullptr);
  std::string program = program_, command = "serve";
  char* const arguments[] = {program.data(), command.data(), nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 2, (folder() + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  // Guards the stand-ins' connections against a copy in each relay that started later, which keeps them open.
  posix_spawn_file_actions_addclosefrom_np(&files, 3);
  const int error = posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) throw std::runtime_error("cannot start " + program);
  if (!happens([&] { return ask("GET /up HTTP/1.1\r\n\r\n") == 200; })) {
    throw std::runtime_error("the relay does not become ready:\n" + log());
  }
}

int RelayProcess::end(int signal) {
  if (pid_ <= 0) return 0;
  ::kill(pid_, signal);
  int status = 0;
  ::waitpid(std::exchange(pid_, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}
// Guards the caller's own process group against a signal to a process that has ended.
void RelayProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}
// Looks without taking its end away from who waits for it.
bool RelayProcess::gone() const {
  siginfo_t info{};
  return pid_ <= 0 || (::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
                       info.si_pid == pid_);
}

bool RelayProcess::ended() {
  if (!gone()) return false;
  if (pid_ > 0) ::waitpid(std::exchange(pid_, 0), nullptr, 0);
  return true;
}

pid_t RelayProcess::serving() const {
  std::ifstream in(state_folder() + "/serving");
  std::string word;
  pid_t pid = 0;
  return in >> word >> pid && word == "pid" && pid > 0 ? pid : pid_;
}

std::string RelayProcess::log() const {
  std::ifstream in(folder() + "/log");
  return {std::istreambuf_iterator<char>(in), {}};
}

std::size_t RelayProcess::logged(const std::string& text) const {
  const std::string all = log();
  std::size_t n = 0;
  for (std::size_t at = 0; (at = all.find(text, at)) != std::string::npos; at += text.size()) ++n;
  return n;
}

std::uint64_t RelayProcess::counter(const std::string& name) const {
  const std::size_t before = logged("counters clients");
  signal(SIGUSR1);
  if (pid_ > 0) happens([&] { return logged("counters clients") > before || gone(); });
  const std::string all = log();
  const std::size_t at = all.find(" " + name + "=", all.rfind("counters clients"));
  return at == std::string::npos ? 0 : std::stoull(all.substr(at + name.size() + 2));
}

tcp::socket RelayProcess::connected(asio::io_context& io) const {
  tcp::socket socket(io);
  asio::error_code error;
  socket.connect({asio::ip::make_address(host_), port_}, error);
  return socket;
}

unsigned RelayProcess::ask(const std::string& text, bool end_sending) const {
  asio::io_context io;
  tcp::socket socket(io);
  asio::error_code error;
  socket.connect({asio::ip::make_address(host_), port_}, error);
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

}  // namespace fennellane::standin
