#include "consul_store.hpp"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <sstream>

#include "number.hpp"

namespace fennellane::standin {
namespace {

constexpr std::size_t kMostOperations = 64;  // of one transaction
constexpr const char* kNode = "node-1";      // of sessions and services that name none

std::string json_text(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool read_json(const std::string& text, Json::Value& value) {
  std::istringstream in(text);
  Json::CharReaderBuilder builder;
  std::string errors;
  return Json::parseFromStream(builder, in, &value, &errors);
}

std::string rest_of(const std::string& path, std::string_view prefix) { return path.substr(prefix.size()); }

std::optional<std::uint64_t> number_in(const std::map<std::string, std::string>& query, const char* name) {
  const auto it = query.find(name);
  if (it == query.end()) return std::nullopt;
  return parse_unsigned(it->second, UINT64_MAX);
}

bool same(const CatalogueHost& a, const CatalogueHost& b) {
  return a.address == b.address && a.port == b.port && a.meta == b.meta && a.passing == b.passing &&
         a.warning == b.warning && a.node_address == b.node_address;
}

}  // namespace

Milliseconds duration_of(const std::string& text) {
  std::size_t at = 0;
  double ms = 0;
  while (at < text.size()) {
    std::size_t used = 0;
    double number = 0;
    try {
      number = std::stod(text.substr(at), &used);
    } catch (const std::exception&) {
      return Milliseconds(-1);
    }
    at += used;
    if (text.compare(at, 2, "ms") == 0) {
      ms += number;
      at += 2;
    } else if (at < text.size() && (text[at] == 's' || text[at] == 'm' || text[at] == 'h')) {
      ms += number * (text[at] == 's' ? 1e3 : text[at] == 'm' ? 6e4 : 3.6e6);
      ++at;
    } else {
      return Milliseconds(-1);
    }
  }
  return Milliseconds(static_cast<std::int64_t>(ms));
}

std::string base64_of(const std::string& bytes) {
  static const char* const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t three = 0;
    const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j)
      three = three << 8 | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j) text += j <= n ? kDigits[three >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

std::string bytes_of_base64(const std::string& text) {
  std::string bytes;
  std::uint32_t held = 0;
  int bits = 0;
  for (const char c : text) {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0) break;
    held = held << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(held >> bits & 255);
  }
  return bytes;
}

std::string percent_decoded(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size() && std::sscanf(text.c_str() + i + 1, "%2x", &byte) == 1) {
      out += static_cast<char>(byte);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

void ConsulStore::note(StoreEvent::Kind kind, SteadyTime at, const std::string& key,
                       const std::string& session, std::uint64_t lock_index, const std::string& value) {
  const auto it = keys_.find(key);
  events_.push_back({kind, at, key, session, lock_index, value, it == keys_.end() ? "" : it->second.session});
}

StoreAnswer ConsulStore::handle(SteadyTime now, const StoreRequest& r) {
  tick(now);
  if (r.path.starts_with("/v1/session/")) {
    const std::string rest = rest_of(r.path, "/v1/session/");
    const std::size_t slash = rest.find('/');
    return session(now, rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1), r);
  }
  if (r.path.starts_with("/v1/kv/")) {
    const std::string key = percent_decoded(rest_of(r.path, "/v1/kv/"));
    if (r.method == "GET") return get_key(key, r);
    if (r.method == "DELETE") return delete_key(key, r);
    return put_key(now, key, r);
  }
  if (r.path == "/v1/txn" && r.method == "PUT") return transaction(now, r.body);
  if (r.path.starts_with("/v1/agent/")) return agent(now, r);
  return {404, "", 0};
}

// --- Sessions
SteadyTime ConsulStore::end_of(const Session& s, SteadyTime renewed) const {
  if (s.ttl == Milliseconds(0)) return SteadyTime::max();
  return renewed + std::chrono::duration_cast<SteadyTime::duration>(s.ttl * rules_.ttl_slack);
}

StoreAnswer ConsulStore::create_session(SteadyTime now, const std::string& body) {
  Json::Value in(Json::objectValue);
  if (!body.empty() && (!read_json(body, in) || !in.isObject()))
    return {400, "Request decode failed: not an object", 0};
  Session s;
  s.name = in.get("Name", "").asString();
  s.behavior = in.get("Behavior", "release").asString();
  s.node = in.get("Node", kNode).asString();
  if (s.behavior != "release" && s.behavior != "delete")
    return {500, "Invalid Behavior setting '" + s.behavior + "'", 0};
  s.lock_delay = in.isMember("LockDelay") ? duration_of(in["LockDelay"].asString()) : Milliseconds(15000);
  if (s.lock_delay < Milliseconds(0) || s.lock_delay > rules_.most_lock_delay)
    return {400, "Request decode failed: LockDelay", 0};
  if (in.isMember("TTL") && !in["TTL"].asString().empty()) {
    s.ttl = duration_of(in["TTL"].asString());
    if (s.ttl < rules_.least_ttl || s.ttl > rules_.most_ttl)
      return {500, "Invalid Session TTL, must be between the least and 24h0m0s", 0};
  }
  // Without a list of its own, a session hangs on its node's serfHealth.
  if (!in.isMember("NodeChecks") && !in.isMember("Checks")) s.checks.insert("serfHealth");
  for (const char* list : {"NodeChecks", "Checks"})
    for (const Json::Value& check : in[list]) s.checks.insert(check.asString());
  for (const Json::Value& check : in["ServiceChecks"]) s.checks.insert(check.get("ID", "").asString());
  for (const std::string& check : s.checks)
    if (critical_.count(s.node + "/" + check) > 0)
      return {500, "Check '" + check + "' is in critical state", 0};
  s.ends = end_of(s, now);
  s.create_index = ++index_;
  char id[40];
  std::snprintf(id, sizeof id, "adf4238a-882b-9ddc-4a9d-%012llx",
                static_cast<unsigned long long>(++sessions_made_));
  sessions_[id] = s;
  return {200, std::string("{\"ID\":\"") + id + "\"}", 0};
}

Json::Value ConsulStore::session_json(const std::string& id, const Session& s) const {
  Json::Value out;
  out["ID"] = id;
  out["Name"] = s.name;
  out["Node"] = s.node;
  out["Behavior"] = s.behavior;
  out["TTL"] = std::to_string(s.ttl.count()) + "ms";
  out["LockDelay"] = Json::Int64(s.lock_delay.count() * 1000000);
  out["CreateIndex"] = Json::UInt64(s.create_index);
  out["ModifyIndex"] = Json::UInt64(s.create_index);
  return out;
}

StoreAnswer ConsulStore::session(SteadyTime now, const std::string& what, const std::string& id,
                                 const StoreRequest& r) {
  if (what == "create" && r.method == "PUT") return create_session(now, r.body);
  const auto it = sessions_.find(id);
  Json::Value list(Json::arrayValue);
  if (what == "list") {
    for (const auto& [each, s] : sessions_) list.append(session_json(each, s));
    return {200, json_text(list), index_};
  }
  if (what == "info") {
    if (it != sessions_.end()) list.append(session_json(id, it->second));
    return {200, json_text(list), index_};
  }
  if (what == "renew" && r.method == "PUT") {
    if (it == sessions_.end()) return {404, "Session id '" + id + "' not found", 0};
    it->second.ends = end_of(it->second, now);
    list.append(session_json(id, it->second));
    return {200, json_text(list), 0};
  }
  if (what == "destroy" && r.method == "PUT") {
    if (it != sessions_.end()) invalidate(now, it);
    return {200, "true", 0};
  }
  return {404, "", 0};
}

void ConsulStore::invalidate(SteadyTime now, std::map<std::string, Session>::iterator it) {
  const std::string id = it->first;
  const Session s = it->second;
  sessions_.erase(it);
  ++index_;
  std::vector<std::string> held;
  for (const auto& [key, entry] : keys_)
    if (entry.session == id) held.push_back(key);
  for (const std::string& key : held) {
    Entry& entry = keys_.at(key);
    note(StoreEvent::Kind::lost, now, key, id, entry.lock, entry.value);
    if (s.lock_delay > Milliseconds(0)) delays_[key] = now + s.lock_delay;
    if (s.behavior == "delete") {
      erase(key);
    } else {
      entry.session.clear();
      entry.modify = keys_index_ = ++index_;
    }
  }
}

SteadyTime ConsulStore::tick(SteadyTime now) {
  SteadyTime next = SteadyTime::max();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto here = it++;
    if (here->second.ends <= now) {
      invalidate(now, here);
    } else {
      next = std::min(next, here->second.ends);
    }
  }
  std::erase_if(delays_, [now](const auto& d) { return d.second <= now; });
  std::vector<std::string> gone;
  for (auto& [id, beat] : beats_) {
    if (beat.critical_since == SteadyTime{} && beat.ends <= now) {
      beat.critical_since = beat.ends;
      set_status(beat.service, id, "critical");
    }
    if (beat.critical_since == SteadyTime{}) {
      next = std::min(next, beat.ends);
    } else if (beat.forget_after > Milliseconds(0) && beat.critical_since + beat.forget_after <= now) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    change(beats_.at(id).service, [&](Hosts& hosts) { hosts.erase(std::string(kNode) + "/" + id); });
    beats_.erase(id);
  }
  return next;
}

void ConsulStore::set_node_check(SteadyTime now, const std::string& node, const std::string& check,
                                 bool passing) {
  if (passing) {
    critical_.erase(node + "/" + check);
    return;
  }
  critical_.insert(node + "/" + check);
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto here = it++;
    if (here->second.node == node && here->second.checks.count(check) > 0) invalidate(now, here);
  }
}

void ConsulStore::restart(SteadyTime now, bool keeps_state) {
  note(StoreEvent::Kind::restarted, now, "", "", 0, keeps_state ? "kept" : "lost");
  delays_.clear();
  if (!keeps_state) {
    sessions_.clear();
    keys_.clear();
    services_.clear();
    beats_.clear();
    keys_index_ = 1;
    index_ = 10;
    return;
  }
  for (auto& [id, s] : sessions_) s.ends = end_of(s, now);
}

// --- Keys
Json::Value ConsulStore::entry_json(const std::string& key, const Entry& e) const {
  Json::Value out;
  out["Key"] = key;
  out["Value"] = base64_of(e.value);
  out["Flags"] = Json::UInt64(e.flags);
  out["CreateIndex"] = Json::UInt64(e.create);
  out["ModifyIndex"] = Json::UInt64(e.modify);
  out["LockIndex"] = Json::UInt64(e.lock);
  if (!e.session.empty()) out["Session"] = e.session;
  return out;
}

StoreAnswer ConsulStore::get_key(const std::string& key, const StoreRequest& r) const {
  Json::Value list(Json::arrayValue);
  if (r.query.count("recurse") > 0) {
    std::uint64_t index = 0;
    for (auto it = keys_.lower_bound(key); it != keys_.end() && it->first.starts_with(key); ++it) {
      list.append(entry_json(it->first, it->second));
      index = std::max(index, it->second.modify);
    }
    if (list.empty()) return {404, "", keys_index_};
    // A deletion below the prefix shows in the index too, so it may rise without a change here.
    return {200, json_text(list), std::max(index, keys_index_)};
  }
  const auto it = keys_.find(key);
  if (it == keys_.end()) return {404, "", keys_index_};
  if (r.query.count("raw") > 0) return {200, it->second.value, it->second.modify};
  list.append(entry_json(key, it->second));
  return {200, json_text(list), it->second.modify};
}

void ConsulStore::write(const std::string& key, const std::string& value) {
  Entry& e = keys_[key];
  e.value = value;
  e.modify = keys_index_ = ++index_;
  if (e.create == 0) e.create = e.modify;
}

void ConsulStore::erase(const std::string& key) {
  if (keys_.erase(key) > 0) keys_index_ = ++index_;
}

void ConsulStore::erase_below(const std::string& prefix) {
  std::vector<std::string> all;
  for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it)
    all.push_back(it->first);
  for (const std::string& each : all) erase(each);
}

bool ConsulStore::acquire(SteadyTime now, const std::string& key, const std::string& session,
                          const std::string& value) {
  const auto it = keys_.find(key);
  const std::string holder = it == keys_.end() ? "" : it->second.session;
  if (!holder.empty() && holder != session) return false;
  if (holder.empty()) {
    const auto delay = delays_.find(key);
    if (delay != delays_.end() && delay->second > now) return false;
  }
  write(key, value);
  Entry& e = keys_.at(key);
  if (holder.empty()) {
    e.session = session;
    ++e.lock;
    note(StoreEvent::Kind::acquired, now, key, session, e.lock, value);
  }
  return true;
}

bool ConsulStore::release(SteadyTime now, const std::string& key, const std::string& session,
                          const std::string& value) {
  const auto it = keys_.find(key);
  if (it == keys_.end() || it->second.session.empty() || it->second.session != session) return false;
  it->second.session.clear();
  note(StoreEvent::Kind::released, now, key, session, it->second.lock, it->second.value);
  write(key, value);
  return true;
}

StoreAnswer ConsulStore::put_key(SteadyTime now, const std::string& key, const StoreRequest& r) {
  if (const auto it = r.query.find("acquire"); it != r.query.end()) {
    if (sessions_.count(it->second) == 0) return {500, "invalid session \"" + it->second + "\"", 0};
    return {200, acquire(now, key, it->second, r.body) ? "true" : "false", 0};
  }
  if (const auto it = r.query.find("release"); it != r.query.end())
    return {200, release(now, key, it->second, r.body) ? "true" : "false", 0};
  if (r.query.count("cas") > 0) {
    const auto wanted = number_in(r.query, "cas");
    const auto it = keys_.find(key);
    if (!wanted) return {400, "invalid cas", 0};
    // 0 stands for a key that is not there.
    if ((it == keys_.end() ? 0 : it->second.modify) != *wanted) return {200, "false", 0};
  }
  write(key, r.body);
  return {200, "true", 0};
}

StoreAnswer ConsulStore::delete_key(const std::string& key, const StoreRequest& r) {
  if (r.query.count("recurse") > 0) {
    erase_below(key);
    return {200, "true", 0};
  }
  if (const auto wanted = number_in(r.query, "cas")) {
    const auto it = keys_.find(key);
    if (it == keys_.end() || it->second.modify != *wanted) return {200, "false", 0};
  }
  erase(key);
  return {200, "true", 0};
}

// --- Transactions
StoreAnswer ConsulStore::transaction(SteadyTime now, const std::string& body) {
  Json::Value operations;
  if (!read_json(body, operations) || !operations.isArray())
    return {400, "Failed to parse body: not an array", 0};
  if (operations.size() > kMostOperations) return {413, "Transaction contains too many operations", 0};
  // Whose work it is: the first check-session names it.
  std::string lock, session;
  for (const Json::Value& operation : operations) {
    if (!lock.empty() || operation["KV"].get("Verb", "").asString() != "check-session") continue;
    lock = operation["KV"].get("Key", "").asString();
    session = operation["KV"].get("Session", "").asString();
  }
  const auto keys = keys_;
  const auto services = services_;
  const std::uint64_t index = index_, keys_index = keys_index_;
  const std::size_t events = events_.size();
  Json::Value results(Json::arrayValue), errors(Json::arrayValue);
  for (Json::ArrayIndex i = 0; i < operations.size(); ++i) {
    const std::string what = apply(now, operations[i], results);
    if (what.empty()) continue;
    Json::Value error;
    error["OpIndex"] = i;
    error["What"] = what;
    errors.append(error);
  }
  const bool good = errors.empty();
  if (!good) {
    keys_ = keys;
    services_ = services;
    index_ = index;
    keys_index_ = keys_index;
    events_.resize(events);
  }
  if (!lock.empty()) {
    const auto it = keys_.find(lock);
    note(good ? StoreEvent::Kind::written : StoreEvent::Kind::refused, now, lock, session,
         it == keys_.end() ? 0 : it->second.lock, body);
  }
  Json::Value out;
  out["Results"] = good ? results : Json::Value();
  out["Errors"] = good ? Json::Value() : errors;
  return {good ? 200u : 409u, json_text(out), 0};
}

std::string ConsulStore::apply(SteadyTime now, const Json::Value& operation, Json::Value& results) {
  if (!operation.isObject()) return "not an operation";
  if (operation.isMember("KV")) return apply_key(now, operation["KV"], results);
  return apply_catalogue(operation);
}

std::string ConsulStore::apply_key(SteadyTime now, const Json::Value& kv, Json::Value& results) {
  const std::string verb = kv.get("Verb", "").asString(), key = kv.get("Key", "").asString(),
                    session = kv.get("Session", "").asString(),
                    value = bytes_of_base64(kv.get("Value", "").asString());
  const std::uint64_t wanted = kv.get("Index", 0).asUInt64();
  const auto it = keys_.find(key);
  const std::uint64_t modify = it == keys_.end() ? 0 : it->second.modify;
  const auto result = [&] {
    Json::Value out;
    out["KV"] = entry_json(key, keys_.at(key));
    out["KV"]["Value"] = Json::Value();
    results.append(out);
    return std::string();
  };
  if (verb == "set") {
    write(key, value);
    return result();
  }
  if (verb == "cas") {
    if (rules_.cas && modify != wanted) return "failed to set key \"" + key + "\", index is stale";
    write(key, value);
    return result();
  }
  if (verb == "lock") {
    if (sessions_.count(session) == 0) return "invalid session \"" + session + "\"";
    if (!acquire(now, key, session, value)) return "failed to lock key \"" + key + "\", lock is already held";
    return result();
  }
  if (verb == "unlock") {
    if (!release(now, key, session, value))
      return "failed to unlock key \"" + key + "\", lock isn't held, or is held by another session";
    return result();
  }
  if (verb == "get") {
    if (it == keys_.end()) return "key \"" + key + "\" doesn't exist";
    Json::Value out;
    out["KV"] = entry_json(key, it->second);
    results.append(out);
    return "";
  }
  if (verb == "check-index") {
    if (it == keys_.end()) return "failed to check index of key \"" + key + "\", key doesn't exist";
    if (modify != wanted) return "failed index check for key \"" + key + "\"";
    return result();
  }
  if (verb == "check-session") {
    if (it == keys_.end()) return "failed to check session of key \"" + key + "\", key doesn't exist";
    if (rules_.fence && (it->second.session != session || session.empty()))
      return "failed session check for key \"" + key + "\"";
    return result();
  }
  if (verb == "check-not-exists") return it == keys_.end() ? "" : "key \"" + key + "\" exists";
  if (verb == "delete") {
    erase(key);
    return "";
  }
  if (verb == "delete-tree") {
    erase_below(key);
    return "";
  }
  if (verb == "delete-cas") {
    if (modify != wanted) return "failed to delete key \"" + key + "\", index is stale";
    erase(key);
    return "";
  }
  return "unknown KV verb \"" + verb + "\"";
}

// Of services and checks: delete and delete-cas.
std::string ConsulStore::apply_catalogue(const Json::Value& operation) {
  const bool is_check = operation.isMember("Check");
  if (!is_check && !operation.isMember("Service")) return "unknown operation";
  const Json::Value& in = operation[is_check ? "Check" : "Service"];
  const std::string verb = in.get("Verb", "").asString();
  if (verb != "delete" && verb != "delete-cas") return "unknown verb \"" + verb + "\"";
  const Json::Value& what = in[is_check ? "Check" : "Service"];
  const std::string node = (is_check ? what : in).get("Node", "").asString();
  const std::string id = is_check ? what.get("ServiceID", "").asString() : what.get("ID", "").asString();
  const std::uint64_t wanted = what.get("ModifyIndex", 0).asUInt64();
  for (auto& [name, service] : services_) {
    const auto it = service.hosts.find(node + "/" + id);
    if (it == service.hosts.end()) continue;
    const std::uint64_t index = is_check ? it->second.check_index : it->second.service_index;
    if (verb == "delete-cas" && index != wanted) return "failed to delete, index is stale";
    if (!is_check) service.hosts.erase(it);
    if (is_check) it->second.check_index = 0;
    service.index = ++index_;
    return "";
  }
  return verb == "delete" ? "" : "failed to delete, index is stale";
}

// --- The agent's own services, and the catalogue
StoreAnswer ConsulStore::agent(SteadyTime now, const StoreRequest& r) {
  const auto id_behind = [&r](const char* prefix) { return percent_decoded(rest_of(r.path, prefix)); };
  if (r.path == "/v1/agent/service/register") {
    Json::Value in;
    if (!read_json(r.body, in) || !in.isObject()) return {400, "Request decode failed", 0};
    CatalogueHost host;
    host.node = kNode;
    host.id = in.get("ID", in["Name"]).asString();
    host.address = in.get("Address", "").asString();
    host.port = in.get("Port", 0).asInt();
    for (const std::string& name : in["Meta"].getMemberNames()) host.meta[name] = in["Meta"][name].asString();
    const std::string service = in["Name"].asString();
    const Json::Value& check = in["Check"];
    const bool known = beats_.count(host.id) > 0;
    // A check begins as critical; one that is there already keeps its status.
    if (check.isMember("TTL")) host.status = "critical";
    change(service, [&](Hosts& hosts) {
      const auto it = hosts.find(host.node + "/" + host.id);
      if (known && it != hosts.end()) host.status = it->second.status;
      hosts[host.node + "/" + host.id] = host;
    });
    if (check.isMember("TTL") && !known) {
      Beat beat;
      beat.service = service;
      beat.ttl = duration_of(check["TTL"].asString());
      if (check.isMember("DeregisterCriticalServiceAfter"))
        beat.forget_after = duration_of(check["DeregisterCriticalServiceAfter"].asString());
      beat.ends = beat.critical_since = now;
      beats_[host.id] = beat;
    }
    return {200, "", 0};
  }
  if (r.path.starts_with("/v1/agent/service/deregister/")) {
    const std::string id = id_behind("/v1/agent/service/deregister/");
    beats_.erase(id);
    for (auto& [name, service] : services_) {
      if (service.hosts.erase(std::string(kNode) + "/" + id) > 0) service.index = ++index_;
    }
    return {200, "", 0};
  }
  for (const char* verb : {"pass", "fail", "warn"}) {
    const std::string prefix = std::string("/v1/agent/check/") + verb + "/";
    if (!r.path.starts_with(prefix)) continue;
    std::string id = id_behind(prefix.c_str());
    if (id.starts_with("service:")) id = id.substr(8);
    const auto it = beats_.find(id);
    if (it == beats_.end()) return {404, "Unknown check ID", 0};
    const bool passes = std::string(verb) != "fail";
    it->second.ends = now + it->second.ttl;
    if (passes) {
      it->second.critical_since = {};
    } else if (it->second.critical_since == SteadyTime{}) {
      it->second.critical_since = now;
    }
    set_status(it->second.service, id, passes ? "passing" : "critical");
    return {200, "", 0};
  }
  return {404, "", 0};
}

void ConsulStore::set_status(const std::string& service, const std::string& id, const std::string& status) {
  for (auto& [key, host] : services_[service].hosts) {
    if (host.id != id || host.status == status) continue;
    host.status = status;
    host.check_index = services_[service].index = ++index_;
  }
}

std::uint64_t ConsulStore::change(const std::string& service, const std::function<void(Hosts&)>& change) {
  Service& s = services_[service];
  const Hosts before = s.hosts;
  change(s.hosts);
  s.index = ++index_;
  for (auto& [key, host] : s.hosts) {
    const auto old = before.find(key);
    const bool fresh = old == before.end();
    // A registration that says the same as before is no change of it.
    host.service_index = fresh || !same(old->second, host) ? s.index : old->second.service_index;
    host.check_index =
        fresh || old->second.status != host.status || old->second.maintenance != host.maintenance
            ? s.index
            : old->second.check_index;
  }
  return s.index;
}

void ConsulStore::restart_index(std::uint64_t index) {
  index_ = index;
  for (auto& [name, service] : services_) service.index = index;
}

}  // namespace fennellane::standin
