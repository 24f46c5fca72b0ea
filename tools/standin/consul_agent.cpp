#include "consul_agent.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cstdio>

#include "http.hpp"
#include "number.hpp"

namespace fennellane::standin {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string head(const std::string& status, std::size_t size, const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + more +
         "Content-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string status_line(unsigned status) {
  return std::to_string(status) + (status == 200 ? " OK" : " Not So");
}

StoreRequest parsed(const std::string& method, const std::string& target, const std::string& body) {
  StoreRequest r;
  r.method = method;
  r.path = target.substr(0, target.find('?'));
  r.body = body;
  for (std::size_t at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
    const std::string pair = target.substr(at + 1, target.find('&', at + 1) - at - 1);
    const std::size_t equals = pair.find('=');
    r.query[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : percent_decoded(pair.substr(equals + 1));
  }
  return r;
}

// What a blocking query waits for: an index past the one that was seen, for so long.
std::uint64_t seen_index(const StoreRequest& r) {
  const auto it = r.query.find("index");
  return it == r.query.end() ? 0 : parse_unsigned(it->second, UINT64_MAX).value_or(0);
}
milliseconds longest_wait(const StoreRequest& r) {
  const auto it = r.query.find("wait");
  return it == r.query.end() ? milliseconds(300000) : duration_of(it->second);
}

}  // namespace

std::string element_json(const std::string& service, const CatalogueHost& h) {
  std::string meta;
  for (const auto& [key, value] : h.meta) {
    meta += (meta.empty() ? "" : ",") + quoted(key) + ":" + quoted(value);
  }
  char weights[80];
  std::snprintf(weights, sizeof weights, "{\"Passing\":%g,\"Warning\":%g}", h.passing, h.warning);
  std::string checks = R"({"Node":")" + h.node + R"(","CheckID":"serfHealth","Name":"Serf Health Status",)" +
                       R"("Status":"passing","Output":"Agent alive and reachable","ServiceID":""},)" +
                       R"({"Node":")" + h.node + R"(","CheckID":"service:)" + h.id +
                       R"(","Name":"call","Status":")" + h.status +
                       R"(","Output":"HTTP GET: {\"up\": [1,2]}","ServiceID":")" + h.id +
                       R"(","CreateIndex":1,"ModifyIndex":)" + std::to_string(h.check_index) + "}";
  if (h.maintenance) {
    checks += R"(,{"Node":")" + h.node + R"(","CheckID":"_service_maintenance:)" + h.id +
              R"(","Name":"Service Maintenance Mode","Status":"critical","ServiceID":")" + h.id + R"("})";
  }
  return R"({"Node":{"ID":"40e4a748-2192-161a-0510-9bf59fe950b5","Node":")" + h.node + R"(","Address":")" +
         h.node_address + R"(","Datacenter":"dc1","Meta":{"rack":"7"}},"Service":{"ID":")" + h.id +
         R"(","Service":")" + service + R"(","Tags":["live"],"Address":")" + h.address + R"(","Meta":{)" +
         meta + R"(},"Port":)" + std::to_string(h.port) + R"(,"Weights":)" + weights +
         R"(,"EnableTagOverride":false,"CreateIndex":1,"ModifyIndex":)" + std::to_string(h.service_index) +
         R"(},"Checks":[)" + checks + "]}";
}

ConsulAgent::ConsulAgent(const StoreRules& rules)
    : store_(rules),
      clock_([this] { run_clock(); }),
      server_([this](const ThreadedServer::Socket& socket) { serve(socket); }) {}

ConsulAgent::~ConsulAgent() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  pause_.notify_all();
  server_.stop();
  clock_.join();
}

void ConsulAgent::run_clock() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const std::uint64_t before = store_.index();
    store_.tick(steady_clock::now());
    if (store_.index() != before) changed_.notify_all();
    pause_.wait_for(lock, milliseconds(20), [this] { return stopping_; });
  }
}

void ConsulAgent::serve(const ThreadedServer::Socket& socket) {
  HttpReader reader(HttpReader::Kind::request, 65536, 1 << 20);
  char piece[4096];
  asio::error_code error;
  while (true) {
    const std::size_t n = socket->read_some(asio::buffer(piece), error);
    if (error) return;
    std::string_view text(piece, n);
    while (!text.empty()) {
      text.remove_prefix(reader.feed(text));
      if (reader.failed()) return;
      if (!reader.done()) continue;
      const std::string target = reader.target(), token(reader.header("x-consul-token").value_or(""));
      const std::string method(reader.method());
      const bool query = method == "GET" && target.starts_with("/v1/health/");
      const std::string body = reader.take_body();
      reader.reset();
      {
        const std::scoped_lock lock(mutex_);
        ++requests_;
      }
      if (!query && !target.starts_with("/v1/agent/")) {
        if (!answer_store(*socket, parsed(method, target, body))) return;
        continue;
      }
      if (query) {
        if (!answer_query(*socket, target, token)) return;
        continue;
      }
      bool healthy = false;
      StoreAnswer answer;
      {
        const std::scoped_lock lock(mutex_);
        puts_.push_back({target, body, token});
        healthy = fault_ == Fault::none;
        if (healthy) answer = store_.handle(steady_clock::now(), parsed(method, target, body));
      }
      changed_.notify_all();
      if (!healthy) answer = {500, "", 0};
      asio::write(*socket, asio::buffer(head(status_line(answer.status), answer.body.size()) + answer.body),
                  error);
      if (error) return;
    }
  }
}

// A key is waited for until its index is past the one that was seen; one that is ahead of the store (which
// has lost its state) is waited for to the end of the time, as Consul does.
bool ConsulAgent::answer_store(tcp::socket& socket, const StoreRequest& request) {
  const std::uint64_t seen = seen_index(request);
  const milliseconds wait = longest_wait(request);
  StoreAnswer answer;
  {
    std::unique_lock lock(mutex_);
    const auto due = [&] {
      if (stopping_ || fault_ != Fault::none) return true;
      answer = store_.handle(steady_clock::now(), request);
      return request.method != "GET" || !ConsulStore::blocks(request.path) || seen == 0 ||
             answer.index > seen;
    };
    const std::uint64_t life = restarts_;
    changed_.wait_for(lock, wait, [&] { return restarts_ != life || due(); });
    if (restarts_ != life) return false;
    if (fault_ == Fault::silent) changed_.wait(lock, [&] { return stopping_ || fault_ != Fault::silent; });
    if (stopping_) return false;
    if (fault_ != Fault::none) answer = {500, "No cluster leader", 0};
  }
  if (request.method != "GET") changed_.notify_all();
  const std::string index = answer.index > 0 ? "X-Consul-Index: " + std::to_string(answer.index) +
                                                   "\r\nX-Consul-KnownLeader: true\r\n"
                                             : "";
  asio::error_code error;
  asio::write(socket, asio::buffer(head(status_line(answer.status), answer.body.size(), index) + answer.body),
              error);
  return !error;
}

void ConsulAgent::restart(bool keeps_state) {
  {
    const std::scoped_lock lock(mutex_);
    ++restarts_;
    store_.restart(steady_clock::now(), keeps_state);
  }
  changed_.notify_all();
  server_.close_connections();
}

void ConsulAgent::set_node_check(const std::string& node, const std::string& check, bool passing) {
  {
    const std::scoped_lock lock(mutex_);
    store_.set_node_check(steady_clock::now(), node, check, passing);
  }
  changed_.notify_all();
}

StoreAnswer ConsulAgent::ask(const StoreRequest& request) {
  StoreAnswer answer;
  {
    const std::scoped_lock lock(mutex_);
    answer = store_.handle(steady_clock::now(), request);
  }
  changed_.notify_all();
  return answer;
}

std::string ConsulAgent::body_of(const std::string& service) {
  if (!body_.empty()) return body_;
  std::string body = "[";
  const auto it = store_.services().find(service);
  if (it != store_.services().end()) {
    for (const auto& [key, host] : it->second.hosts) {
      if (body.size() > 1) body += ',';
      body += element_json(service, host);
    }
  }
  return body + "]";
}

// False: the connection is to end.
bool ConsulAgent::answer_query(tcp::socket& socket, const std::string& target, const std::string& token) {
  const StoreRequest request = parsed("GET", target, "");
  const std::string service = request.path.substr(request.path.rfind('/') + 1);
  const std::uint64_t seen = seen_index(request);
  const milliseconds wait = longest_wait(request);

  std::unique_lock lock(mutex_);
  ++queries_;
  const auto due = [&] {
    return stopping_ || fault_ != Fault::none || seen == 0 || store_.services()[service].index != seen;
  };
  changed_.wait_for(lock, wait, due);
  if (fault_ == Fault::silent) changed_.wait(lock, [&] { return stopping_ || fault_ != Fault::silent; });
  if (stopping_) return false;
  const Fault fault = fault_;
  const std::uint64_t index = store_.services()[service].index;
  std::string status = "200 OK", body, headers;
  switch (fault) {
    case Fault::error_500:
      status = "500 Internal Server Error";
      body = "rpc error making call";
      break;
    case Fault::no_leader:
      status = "500 Internal Server Error";
      body = "No cluster leader";
      break;
    case Fault::forbidden_403:
      status = "403 Forbidden";
      body = "Permission denied";
      break;
    case Fault::missing_404:
      status = "404 Not Found";
      break;
    case Fault::too_many_429:
      status = "429 Too Many Requests";
      headers = "Retry-After: 1\r\n";
      break;
    case Fault::redirect_301:
      status = "301 Moved Permanently";
      headers = "Location: http://127.0.0.1:1/\r\n";
      break;
    case Fault::garbage:
      body = "<html>it works</html>";
      break;
    case Fault::wrong_type:
      body = R"([{"Node":"n","Service":[],"Checks":{}}])";
      break;
    default:
      body = body_of(service);
  }
  if (fault != Fault::no_index) {
    headers += "X-Consul-Index: " + std::to_string(index) +
               "\r\nX-Consul-KnownLeader: " + (leader_ ? "true" : "false") +
               "\r\nX-Consul-LastContact: " + std::to_string(last_contact_ms_) + "\r\n";
  }
  lock.unlock();

  asio::error_code error;
  bool keep = true;
  if (fault == Fault::huge) {
    const std::string part = std::string(1 << 20, ' ');
    asio::write(socket, asio::buffer(head(status, 60 << 20, headers) + "["), error);
    for (int i = 0; i < 60 && !error; ++i) asio::write(socket, asio::buffer(part), error);
    keep = false;
  } else if (fault == Fault::cut) {
    const std::string text = head(status, body.size(), headers) + body;
    asio::write(socket, asio::buffer(text.data(), text.size() - body.size() / 2 - 1), error);
    keep = false;
  } else if (fault == Fault::dribble) {
    const std::string text = head(status, body.size(), headers) + body;
    for (std::size_t i = 0; i < text.size() && !error; ++i) {
      asio::write(socket, asio::buffer(text.data() + i, 1), error);
      std::unique_lock pause(mutex_);
      if (changed_.wait_for(pause, milliseconds(20), [&] { return stopping_; })) return false;
    }
  } else if (fault == Fault::chunked || fault == Fault::bad_chunk) {
    std::string text = "HTTP/1.1 " + status + "\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n";
    std::size_t size = 1;
    for (std::size_t at = 0; at < body.size(); at += size) {
      size = size * 5 % 23 + 1;
      const std::string piece = body.substr(at, size);
      char length[20];
      std::snprintf(length, sizeof length, "%zx", piece.size());
      const bool bad = fault == Fault::bad_chunk && at > body.size() / 2;
      text += std::string(bad ? "xyz" : length) + "\r\n" + piece + "\r\n";
    }
    asio::write(socket, asio::buffer(text + "0\r\n\r\n"), error);
    keep = fault == Fault::chunked;
  } else {
    const std::string text = head(status, body.size(), headers) + body;
    asio::write(socket, asio::buffer(text), error);
  }
  const SteadyTime written = steady_clock::now();
  lock.lock();
  served_.push_back({service, target, token, static_cast<unsigned>(std::stoi(status)), index, written});
  return keep && !error;
}

std::uint64_t ConsulAgent::change(const std::string& service, const std::function<void(Hosts&)>& change) {
  std::uint64_t index = 0;
  {
    const std::scoped_lock lock(mutex_);
    index = store_.change(service, change);
  }
  changed_.notify_all();
  return index;
}

std::uint64_t ConsulAgent::put(const std::string& service, const CatalogueHost& host) {
  return change(service, [&](Hosts& hosts) { hosts[host.node + "/" + host.id] = host; });
}

std::uint64_t ConsulAgent::set_status(const std::string& service, const std::string& id,
                                      const std::string& status) {
  return change(service, [&](Hosts& hosts) {
    for (auto& [key, host] : hosts) {
      if (host.id == id) host.status = status;
    }
  });
}

std::uint64_t ConsulAgent::remove(const std::string& service, const std::string& id) {
  return change(
      service, [&](Hosts& hosts) { std::erase_if(hosts, [&](const auto& h) { return h.second.id == id; }); });
}

void ConsulAgent::set_fault(Fault fault) {
  {
    const std::scoped_lock lock(mutex_);
    fault_ = fault;
  }
  changed_.notify_all();
}

void ConsulAgent::set_leader(bool known) {
  const std::scoped_lock lock(mutex_);
  leader_ = known;
}

void ConsulAgent::set_last_contact(std::uint64_t ms) {
  const std::scoped_lock lock(mutex_);
  last_contact_ms_ = ms;
}

void ConsulAgent::restart_index(std::uint64_t index) {
  {
    const std::scoped_lock lock(mutex_);
    store_.restart_index(index);
  }
  changed_.notify_all();
}

void ConsulAgent::set_body(const std::string& body) {
  {
    const std::scoped_lock lock(mutex_);
    body_ = body;
    for (auto& [name, service] : store_.services()) service.index = store_.next_index();
  }
  changed_.notify_all();
}

std::vector<Served> ConsulAgent::served() const {
  const std::scoped_lock lock(mutex_);
  return served_;
}
std::vector<Put> ConsulAgent::puts() const {
  const std::scoped_lock lock(mutex_);
  return puts_;
}
std::size_t ConsulAgent::requests() const {
  const std::scoped_lock lock(mutex_);
  return requests_;
}
std::size_t ConsulAgent::sessions() const {
  const std::scoped_lock lock(mutex_);
  return store_.sessions();
}
std::vector<StoreEvent> ConsulAgent::events() const {
  const std::scoped_lock lock(mutex_);
  return store_.events();
}
std::size_t ConsulAgent::queries() const {
  const std::scoped_lock lock(mutex_);
  return queries_;
}

}  // namespace fennellane::standin
