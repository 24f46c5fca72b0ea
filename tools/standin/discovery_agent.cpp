#include "discovery_agent.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <sstream>
#include <utility>

#include "http.hpp"
#include "http_server.hpp"

namespace fennellane::standin {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat{2000};
constexpr milliseconds kPoll{10};  // between two looks whether the other side has left
const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk_of(const std::string& text) {
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  return chunk.str();
}

}  // namespace

// One request for a list or a watch.
struct DiscoveryAgent::Exchange {
  asio::ip::tcp::socket& socket;
  std::size_t outage;      // the number of outages when it came
  DiscoveryFault arrived;  // the fault then
  asio::error_code error;

  bool write(const std::string& text) {
    asio::write(socket, asio::buffer(text), error);
    return !error;
  }
  void reset() {
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }
};

DiscoveryAgent::DiscoveryAgent(std::vector<HostLine> hosts)
    : server_([this](const ThreadedServer::Socket& socket) { serve(socket); }) {
  const std::scoped_lock lock(mutex_);
  for (HostLine& host : hosts) lines_.push_back({std::move(host), 1});
}

DiscoveryAgent::~DiscoveryAgent() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.stop();
}

void DiscoveryAgent::begin_fault(DiscoveryFault fault) {
  const std::scoped_lock lock(mutex_);
  fault_ = fault;
  ++outages_;
  changed_.notify_all();
}

void DiscoveryAgent::end_fault() {
  std::vector<std::vector<HostLine>> unheard;
  {
    const std::scoped_lock lock(mutex_);
    fault_ = DiscoveryFault::none;
    unheard = std::exchange(unheard_, {});
  }
  for (const std::vector<HostLine>& lines : unheard) change(lines);
  changed_.notify_all();
}

void DiscoveryAgent::change(const std::vector<HostLine>& lines) {
  const std::scoped_lock lock(mutex_);
  if (fault_ != DiscoveryFault::none) {
    unheard_.push_back(lines);
    return;
  }
  ++version_;
  for (const HostLine& line : lines) {
    std::erase_if(lines_, [&](const VersionedLine& known) { return known.host.id == line.id; });
    lines_.push_back({line, version_});
  }
  changed_.notify_all();
}

bool DiscoveryAgent::noticed(const std::string& text) const {
  const std::scoped_lock lock(mutex_);
  return notices_.find(text) != std::string::npos;
}

void DiscoveryAgent::serve(const ThreadedServer::Socket& socket) {
  HttpReader reader(HttpReader::Kind::request, 65536, 1 << 20);
  char piece[4096];
  asio::error_code error;
  while (true) {
    const std::size_t n = socket->read_some(asio::buffer(piece), error);
    if (error) return;
    reader.feed({piece, n});
    if (reader.failed()) return;
    if (!reader.done()) continue;
    const std::string target = reader.target();
    const std::string body = reader.take_body();
    reader.reset();
    if (target == "/v1/notices") {
      answer_notices(socket, body);
      continue;
    }
    ++requests_;
    ++pending_;
    std::unique_lock lock(mutex_);
    Exchange exchange{*socket, outages_, fault_, {}};
    lock.unlock();
    const bool is_watch = target.find("watch=1") != std::string::npos;
    if (!is_watch) ++fetches_;
    if (await_turn(exchange)) {
      if (is_watch) {
        answer_watch(exchange, std::stoi(target.substr(target.rfind('=') + 1)));
      } else {
        answer_list(exchange);
      }
    }
    --pending_;
    if (is_watch || exchange.error || !is_open(exchange)) return;
  }
}

// The platform takes notices at once, also while discovery is down.
void DiscoveryAgent::answer_notices(const ThreadedServer::Socket& socket, const std::string& batch) {
  {
    const std::scoped_lock lock(mutex_);
    notices_ += batch;
  }
  asio::error_code ignored;
  asio::write(*socket, asio::buffer(answer("204 No Content")), ignored);
}

// Whether the other side is still there, and so is this stand-in.
bool DiscoveryAgent::is_open(const Exchange& exchange) const {
  char byte = 0;
  if (!exchange.socket.is_open()) return false;
  const auto n = ::recv(exchange.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// Waits until the answer may begin; false if it never does.
bool DiscoveryAgent::await_turn(Exchange& exchange) {
  if (!sleep_for(exchange, delay_)) return false;
  while (is_open(exchange)) {
    std::unique_lock lock(mutex_);
    if (stopping_) return false;
    const bool lost = exchange.arrived == DiscoveryFault::forgetful ||
                      (fault_ == DiscoveryFault::forgetful && outages_ > exchange.outage);
    if (fault_ == DiscoveryFault::resetting) {
      lock.unlock();
      exchange.reset();
      return false;
    }
    if (!lost && fault_ != DiscoveryFault::silent) return true;
    changed_.wait_for(lock, kPoll);
  }
  return false;
}

bool DiscoveryAgent::sleep_for(Exchange& exchange, milliseconds span) {
  const auto end = Clock::now() + span;
  while (Clock::now() < end) {
    if (!is_open(exchange)) return false;
    std::unique_lock lock(mutex_);
    if (stopping_) return false;
    changed_.wait_until(lock, std::min(end, Clock::now() + kPoll));
  }
  return true;
}

void DiscoveryAgent::answer_list(Exchange& exchange) {
  std::unique_lock lock(mutex_);
  const std::string whole = answer("200 OK", changes_since(0, true));
  const DiscoveryFault fault = fault_;
  lock.unlock();
  if (fault == DiscoveryFault::head_only || fault == DiscoveryFault::half_line) {
    const std::size_t head = whole.find("\r\n\r\n") + 4;
    exchange.write(whole.substr(0, fault == DiscoveryFault::head_only ? head : (head + whole.size()) / 2));
    while (sleep_for(exchange, kHeartbeat)) {
    }
    return;
  }
  exchange.write(whole);
}

void DiscoveryAgent::answer_watch(Exchange& exchange, int known_version) {
  std::unique_lock lock(mutex_);
  const DiscoveryFault fault = fault_;
  const int version = version_;
  std::string line = known_version < version ? changes_since(known_version, false) : "";
  if (fault == DiscoveryFault::older_version) line = list_json({}, known_version - 1, false);
  if (fault == DiscoveryFault::half_line) line = changes_since(0, true);
  lock.unlock();
  if (!exchange.write(kWatchHead)) return;
  if (fault == DiscoveryFault::half_line) exchange.write(chunk_of(line.substr(0, line.size() / 2)));
  if (fault == DiscoveryFault::head_only || fault == DiscoveryFault::half_line) {
    while (sleep_for(exchange, kHeartbeat)) {
    }
    return;
  }
  if (!exchange.write(chunk_of(line + "\n"))) return;
  ++watches_;
  follow(exchange, version);
  --watches_;
}

// Sends changes, and empty lines in between. A fault that began since makes the watch fall silent.
void DiscoveryAgent::follow(Exchange& exchange, int sent_version) {
  auto heartbeat = Clock::now() + kHeartbeat;
  while (is_open(exchange)) {
    std::unique_lock lock(mutex_);
    if (stopping_) return;
    if (fault_ == DiscoveryFault::resetting) {
      lock.unlock();
      return exchange.reset();
    }
    // A watch that was open when a fault other than silence began has fallen silent for good.
    const bool mute = fault_ == DiscoveryFault::silent || exchange.outage != outages_;
    if (fault_ == DiscoveryFault::silent) exchange.outage = outages_;
    std::string line;
    if (!mute && sent_version < version_) line = changes_since(sent_version, false) + "\n";
    if (!mute && line.empty() && Clock::now() >= heartbeat) line = "\n";
    if (line.empty()) {
      changed_.wait_for(lock, kPoll);
      continue;
    }
    sent_version = version_;
    heartbeat = Clock::now() + kHeartbeat;
    lock.unlock();
    if (!exchange.write(chunk_of(line))) return;
  }
}

// Requires the lock.
std::string DiscoveryAgent::changes_since(int version, bool full) const {
  std::vector<HostLine> hosts;
  for (const VersionedLine& line : lines_) {
    if (line.version > version && !(full && line.host.state == "gone")) hosts.push_back(line.host);
  }
  return list_json(hosts, version_, full);
}

}  // namespace fennellane::standin
