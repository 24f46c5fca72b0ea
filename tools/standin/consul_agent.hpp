// A stand-in for a Consul agent, written from the public API documentation, for loopback: health of services
// with blocking queries, registration of services, sessions, keys and transactions (see consul_store.hpp),
// and faults by script. Not for use outside tests and measurements.
#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "consul_store.hpp"
#include "threaded_server.hpp"

namespace fennellane::standin {

enum class Fault {
  none,
  silent,      // queries are read and not answered
  cut,         // half an answer, then the end of the connection
  dribble,     // one byte each 20 ms
  garbage,     // 200 with a body that is no JSON
  wrong_type,  // 200 with JSON of another shape
  huge,        // 200 with 60 MB of one array
  error_500,
  forbidden_403,
  missing_404,
  too_many_429,
  redirect_301,
  no_leader,  // 500, as an agent says it
  chunked,    // the good answer, in chunks of odd sizes
  bad_chunk,  // the same, with a chunk whose size is no number
  no_index    // 200 without X-Consul-Index
};

struct Served {  // one answer to a query on a service
  std::string service;
  std::string target;
  std::string token;
  unsigned status = 0;
  std::uint64_t index = 0;
  SteadyTime last_byte;  // just after it was written
};
struct Put {
  std::string target, body, token;
};

class ConsulAgent {
 public:
  explicit ConsulAgent(const StoreRules& rules = {});
  ~ConsulAgent();
  ConsulAgent(const ConsulAgent&) = delete;
  ConsulAgent& operator=(const ConsulAgent&) = delete;

  std::string address() const { return server_.address(); }

  // One change of the catalogue: hosts of one service by node and id. All that `change` does is one index.
  using Hosts = ConsulStore::Hosts;
  std::uint64_t change(const std::string& service, const std::function<void(Hosts&)>& change);
  std::uint64_t put(const std::string& service, const CatalogueHost& host);
  std::uint64_t set_status(const std::string& service, const std::string& id, const std::string& status);
  std::uint64_t remove(const std::string& service, const std::string& id);

  void set_fault(Fault fault);  // for every answer from now on, those that wait included
  void set_leader(bool known);  // X-Consul-KnownLeader
  void set_last_contact(std::uint64_t ms);
  void restart_index(std::uint64_t index);  // as after a snapshot is restored
  void set_body(const std::string& body);   // of every answer to a service query; empty = the catalogue's
  void close_connections() { server_.close_connections(); }
  // As a server that was down for a moment: its connections end.
  void restart(bool keeps_state);
  void set_node_check(const std::string& node, const std::string& check, bool passing);

  std::vector<Served> served() const;
  std::vector<Put> puts() const;
  std::size_t queries() const;   // on the health of services, read so far
  std::size_t requests() const;  // of every kind, read so far
  std::size_t sessions() const;
  std::vector<StoreEvent> events() const;
  StoreAnswer ask(const StoreRequest& request);  // without a connection

 private:
  void serve(const ThreadedServer::Socket& socket);
  bool answer_query(asio::ip::tcp::socket& socket, const std::string& target, const std::string& token);
  bool answer_store(asio::ip::tcp::socket& socket, const StoreRequest& request);
  void run_clock();
  std::string body_of(const std::string& service);

  mutable std::mutex mutex_;
  std::condition_variable changed_, pause_;
  ConsulStore store_;
  Fault fault_ = Fault::none;
  bool leader_ = true;
  std::uint64_t last_contact_ms_ = 0;
  std::string body_;
  std::vector<Served> served_;
  std::vector<Put> puts_;
  std::size_t queries_ = 0, requests_ = 0;
  std::uint64_t restarts_ = 0;
  bool stopping_ = false;
  std::thread clock_;      // ends sessions and checks whose time is over
  ThreadedServer server_;  // last, since its threads use all the others
};

// One element of the answer, as the API describes it.
std::string element_json(const std::string& service, const CatalogueHost& host);

}  // namespace fennellane::standin
