// Configurations of the platform's form for one relay of a small deployment, with the figures of the two
// sites.
#pragma once

#include "lab.hpp"

namespace lab {

struct Site {
  std::string name = "n1", listen, discovery;
  std::vector<Host> known;
  int relays = 1, index = 0;
  std::string discovery_mode = "ask";
  int max_calls = 12, max_open = 120;
  bool apart = false;  // of kind `major-partner`
};

// sfax-main: one keyed class, repeats dropped for 7.5 s, 6 attempts, no reports, answers after 0.2 to 0.3 s.
inline std::string sfax(const Site& s) {
  return R"({"name":")" + s.name + R"(","seed":"8c1f30d27a5be964","listen":")" + s.listen +
         R"(","discovery":")" + s.discovery +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":)" +
         list_json(s.known, 1, true) + R"(,"settings":{"n_instances":)" + std::to_string(s.relays) +
         R"(,"index":)" + std::to_string(s.index) +
         R"(,"tier":0,"tiers":"partner-systems","zone":0,"zones":["bldg-a","bldg-b","bldg-c"],
   "discovery":")" +
         s.discovery_mode + R"(","family":"deliver","client_habits":{"marks_retry":true},
   "request_classes":[{"name":"delivery","effect":"guarded","key_scope":"all","window_us":7500000,"aim_us":3000000,
     "give_up_us":28000000,"worth":1.0,"late_worth":0.3,"stream":false}],
   "orgs":[],"skus":["major-partner","partner"],"weights":"nominal","worth_by":"request",
   "domain":{"max_calls":)" +
         std::to_string(s.max_calls) + R"(,"late":"even","routes_apart":[)" + (s.apart ? "true" : "false") +
         R"(,false],"kind_batch":[1,1]},
   "feedback":{"names":[],"source":"none"},
   "guarantees":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_from":0.16,"cold_us":14000000,"fall_us":1500000,
     "overload_factor":2.5,"stop_sending_within_us":500000},
   "limits":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":1500000,"max_attempts":6,"max_open":)" +
         std::to_string(s.max_open) +
         R"(,"max_retry_after_us":2000000,"peers":false,"probes":false,"retry_after":true,
     "second_copies":false,"streams_per_conn":1},
   "resolution_us":5000}})";
}

// athens-outbound: template-notice may be repeated, order-payment must never take effect twice; lists are
// pushed.
inline std::string athens(const Site& s) {
  return R"({"name":")" + s.name + R"(","seed":"8c1f30d27a5be964","listen":")" + s.listen +
         R"(","discovery":")" + s.discovery +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":)" +
         list_json(s.known, 1, true) + R"(,"settings":{"n_instances":)" + std::to_string(s.relays) +
         R"(,"index":)" + std::to_string(s.index) +
         R"(,"tier":0,"tiers":"partner-systems","zone":0,"zones":["marousi-dc"],
   "discovery":")" +
         s.discovery_mode + R"(","family":"deliver","client_habits":{"marks_retry":true},
   "request_classes":[
     {"name":"template-notice","effect":"free","aim_us":2500000,"give_up_us":24000000,"worth":1.0,"late_worth":0.4},
     {"name":"order-payment","effect":"single_shot","aim_us":2000000,"give_up_us":16000000,"worth":3.0,"late_worth":0.3}],
   "orgs":[{"name":"attiki","quota_per_s":19.0,"share":0.56},{"name":"kentriki-makedonia","quota_per_s":9.0,"share":0.27},
     {"name":"kriti","quota_per_s":6.0,"share":0.17}],
   "over_share_worth":0.2,"skus":["bank-gateways","franchisee-offices","esign-providers"],"weights":"nominal",
   "worth_by":"request",
   "domain":{"max_calls":)" +
         std::to_string(s.max_calls) + R"(,"late":"by_half","routes_apart":[false,false,false],
     "kind_batch":[1,1,1]},
   "feedback":{"names":["x0","x1"],"source":"answers"},
   "guarantees":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_from":0.16,"cold_us":10000000,"fall_us":2000000,
     "overload_factor":2.0,"stop_sending_within_us":1000000},
   "limits":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":1000000,"max_attempts":12,"max_open":)" +
         std::to_string(s.max_open) +
         R"(,"max_retry_after_us":2000000,"peers":true,"probes":false,"retry_after":false,
     "second_copies":false,"streams_per_conn":1},
   "resolution_us":5000}})";
}

}  // namespace lab
