// What a Consul server holds, without threads, sockets or a clock: sessions, the key-value store, its
// transactions, and the catalogue of services with their checks. Written from the public API documentation
// (Session, KV Store, Transactions, Health, Agent/Service and Agent/Check HTTP APIs; "Blocking Queries").
// For tests and measurements on loopback.
//
// What the documentation promises and this keeps:
// - A session is invalidated no sooner than its TTL after its newest renew, and may be up to twice as late;
//   also where a check it was created with is critical, its node is gone, or it is destroyed.
// - An invalidated session lets go of its locks (Behavior release) or deletes their keys (delete), and for
// its
//   LockDelay nobody gets them. A release by the holder starts no lock-delay.
// - LockIndex counts the times that a key was acquired anew; one more acquire by its holder leaves it.
// - Locks are advisory: a plain write takes no heed of them; check-session in a transaction does.
// - A transaction takes place whole or not at all.
#pragma once

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fennellane::standin {

using SteadyTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct CatalogueHost {
  std::string node = "node-1";
  std::string id;
  std::string address = "127.0.0.1";
  std::string node_address = "127.0.0.1";
  int port = 0;
  std::map<std::string, std::string> meta;
  double passing = 1, warning = 1;
  std::string status = "passing";
  bool maintenance = false;
  // Kept by the store.
  std::uint64_t service_index = 0, check_index = 0;  // ModifyIndex of each
};

struct StoreRules {
  Milliseconds least_ttl = std::chrono::seconds(10);  // the agent's session_ttl_min
  Milliseconds most_ttl = std::chrono::hours(24);
  Milliseconds most_lock_delay = std::chrono::seconds(60);
  double ttl_slack = 2;  // a session ends so many times its TTL after its newest renew: 1 to 2
  bool fence = true;     // false: a planted bug, check-session holds for everybody
  bool cas = true;       // false: another, a check-and-set in a transaction takes any value
};

struct StoreRequest {
  std::string method, path;
  std::map<std::string, std::string> query;  // decoded; a flag has an empty value
  std::string body;
};
struct StoreAnswer {
  unsigned status = 200;
  std::string body;
  std::uint64_t index = 0;  // X-Consul-Index; 0 = none
};

// What the store saw, for a checker: kept in order, `at` on the store's clock.
struct StoreEvent {
  enum class Kind : std::uint8_t { acquired, released, lost, written, refused, restarted };
  Kind kind{};
  SteadyTime at{};
  std::string key;      // of a lock, or of the lock that a transaction names with check-session
  std::string session;  // whose
  std::uint64_t lock_index = 0;
  std::string value;   // of the lock's key: who holds it; of a transaction, its body
  std::string holder;  // the session that holds the lock then
};

class ConsulStore {
 public:
  explicit ConsulStore(const StoreRules& rules = {}) : rules_(rules) {}

  // Sessions, keys, transactions, the agent's own services; 404 for anything else.
  StoreAnswer handle(SteadyTime now, const StoreRequest& request);
  // Ends what is due, and says when to come next.
  SteadyTime tick(SteadyTime now);
  // Whether anything that a blocking query of this path waits for may have changed is told by its index.
  static bool blocks(const std::string& path) { return path.starts_with("/v1/kv/"); }

  // A server that comes again, with its state or without: every TTL begins anew, and lock-delays, which no
  // server keeps on its disk, are over.
  void restart(SteadyTime now, bool keeps_state);
  // A check of a node, as its agent reports it; sessions that name it end where it is critical.
  void set_node_check(SteadyTime now, const std::string& node, const std::string& check, bool passing);

  using Hosts = std::map<std::string, CatalogueHost>;
  struct Service {
    std::uint64_t index = 1;
    Hosts hosts;
  };
  std::uint64_t change(const std::string& service, const std::function<void(Hosts&)>& change);
  std::map<std::string, Service>& services() { return services_; }
  void restart_index(std::uint64_t index);
  std::uint64_t next_index() { return ++index_; }
  std::uint64_t index() const { return index_; }

  const std::vector<StoreEvent>& events() const { return events_; }
  std::size_t sessions() const { return sessions_.size(); }

 private:
  struct Session {
    std::string name, behavior, node;
    std::set<std::string> checks;  // of its node, and of services
    Milliseconds ttl{0}, lock_delay{0};
    SteadyTime ends{};
    std::uint64_t create_index = 0;
  };
  struct Entry {
    std::string value, session;
    std::uint64_t flags = 0, create = 0, modify = 0, lock = 0;
  };
  struct Beat {  // of a service with a TTL check
    std::string service;
    Milliseconds ttl{0}, forget_after{0};
    SteadyTime ends{}, critical_since{};
  };
  StoreAnswer session(SteadyTime now, const std::string& what, const std::string& id,
                      const StoreRequest& request);
  SteadyTime end_of(const Session& s, SteadyTime renewed) const;
  StoreAnswer create_session(SteadyTime now, const std::string& body);
  Json::Value session_json(const std::string& id, const Session& s) const;
  StoreAnswer get_key(const std::string& key, const StoreRequest& request) const;
  StoreAnswer put_key(SteadyTime now, const std::string& key, const StoreRequest& request);
  StoreAnswer delete_key(const std::string& key, const StoreRequest& request);
  StoreAnswer transaction(SteadyTime now, const std::string& body);
  std::string apply(SteadyTime now, const Json::Value& operation, Json::Value& results);
  std::string apply_key(SteadyTime now, const Json::Value& kv, Json::Value& results);
  std::string apply_catalogue(const Json::Value& operation);
  StoreAnswer agent(SteadyTime now, const StoreRequest& request);
  bool acquire(SteadyTime now, const std::string& key, const std::string& session, const std::string& value);
  // As with an acquire, the request's value becomes the key's.
  bool release(SteadyTime now, const std::string& key, const std::string& session, const std::string& value);
  void write(const std::string& key, const std::string& value);
  void erase(const std::string& key);
  void erase_below(const std::string& prefix);
  void invalidate(SteadyTime now, std::map<std::string, Session>::iterator it);
  Json::Value entry_json(const std::string& key, const Entry& e) const;
  void note(StoreEvent::Kind kind, SteadyTime at, const std::string& key, const std::string& session,
            std::uint64_t lock_index, const std::string& value);
  void set_status(const std::string& service, const std::string& id, const std::string& status);

  const StoreRules rules_;
  std::uint64_t index_ = 10, sessions_made_ = 0;
  std::uint64_t keys_index_ = 1;  // of the newest change of any key
  std::map<std::string, Session> sessions_;
  std::map<std::string, Entry> keys_;
  std::map<std::string, SteadyTime> delays_;  // by key: nobody gets its lock before
  std::set<std::string> critical_;            // node/check
  std::map<std::string, Service> services_;
  std::map<std::string, Beat> beats_;  // by service id
  std::vector<StoreEvent> events_;
};

// "15s", "500ms", "1m30s"; below 0 for what is none.
Milliseconds duration_of(const std::string& text);
std::string base64_of(const std::string& bytes);
std::string bytes_of_base64(const std::string& text);
std::string percent_decoded(const std::string& text);

}  // namespace fennellane::standin
