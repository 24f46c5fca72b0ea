// A small configuration of the platform's form, its lists of hosts, and a request that it takes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennellane::standin {

struct HostLine {
  std::string id, address;
  int cell = 7;
  std::string state = "ready";
  double weight = 50;
  std::uint64_t started_ms = 0;
};

inline std::string list_json(const std::vector<HostLine>& hosts, int version = 1, bool full = true) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (const HostLine& h : hosts) {
    if (text.back() == '}') text += ",";
    text += "{\"id\":\"" + h.id + "\",\"addr\":\"" + h.address +
            "\",\"zone\":\"z\",\"kind\":\"bank\",\"cell\":" + std::to_string(h.cell) + ",\"state\":\"" +
            h.state + "\",\"weight\":" + std::to_string(h.weight) +
            ",\"started_ms\":" + std::to_string(h.started_ms) + "}";
  }
  return text + "]}";
}

struct ConfigParts {
  std::string listen = "127.0.0.1:1", discovery = "127.0.0.1:1";
  std::vector<HostLine> known;
  int max_open = 50;
  double disk_mb = 3;
  int sockets = 1024;
  // A call that may be repeated is waited for twice as long at least.
  int connect_ms = 1000;
  std::size_t index = 0, relays = 1;  // which one of how many
  std::size_t max_calls = 8;          // in flight at once
  std::string discovery_mode{};       // "push" or "ask"; empty: not told
};

// Class 0 `note` may be repeated, class 1 `pay` may not; tenants `north` and `south`.
inline std::string config_json(const ConfigParts& p = {}) {
  const std::string index = std::to_string(p.index);
  return R"({"name":"n)" + index + R"(","seed":"8c1f30d27a5be964","listen":")" + p.listen +
         R"(","discovery":")" + p.discovery + R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":)" +
         std::to_string(p.sockets) + R"(,"disk_mb":)" + std::to_string(p.disk_mb) + R"(},"known":)" +
         list_json(p.known, 0) + R"(,"settings":{)" +
         (p.discovery_mode.empty() ? "" : R"("discovery":")" + p.discovery_mode + R"(",)") +
         R"("n_instances":)" + std::to_string(p.relays) + R"(,"index":)" + index + R"(,"zone":0,
    "request_classes":[
      {"name":"note","effect":"free","aim_us":2000000,"give_up_us":20000000,"worth":1.0,"late_worth":0.4},
      {"name":"pay","effect":"single_shot","aim_us":2000000,"give_up_us":20000000,"worth":3.0}],
    "orgs":[{"name":"north","quota_per_s":9.5},{"name":"south","quota_per_s":3}],
    "skus":["bank"],"zones":["z"],"weights":"nominal","over_share_worth":0.2,
    "domain":{"max_calls":)" +
         std::to_string(p.max_calls) + R"(,"late":"by_half","routes_apart":[false],"kind_batch":[1]},
    "feedback":{"names":["x0","x1"],"source":"answers"},
    "guarantees":{"answer_slack_us":20000,"cold_from":0.16,"cold_us":10000000,"fall_us":2000000,
                  "overload_factor":2.0,"stop_sending_within_us":1000000},
    "limits":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":)" +
         std::to_string(p.connect_ms) + R"(000,"max_attempts":12,"max_open":)" + std::to_string(p.max_open) +
         R"(,"max_retry_after_us":2000000,"streams_per_conn":1},
    "resolution_us":5000}})";
}

inline std::string request_text(std::string_view id = "a1", std::string_view body = "hello",
                                std::string_view message_class = "note", int destination = 7) {
  const std::string c(message_class);
  return "POST /" + c + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + std::string(id) +
         "\r\nX-Call-Class: " + c +
         "\r\nX-Caller: south\r\nX-Budget-Ms: 20000\r\nX-Consignee: dest=" + std::to_string(destination) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace fennellane::standin
