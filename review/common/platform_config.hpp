// A small deployment's configuration in the platform's form, after the settings of WIRE and DEPLOY.
#pragma once

#include <string>
#include <vector>

#include "rig.hpp"

namespace rig {

// `known`: hosts last known. Class 0 is template-notice, class 1 order-payment; with `keyed` class 2 is
// `delivery`, whose repeats partners drop for 7.5 s.
inline std::string platform_config(const Relay& relay, const std::string& discovery,
                                   const std::vector<Host>& known, bool keyed = false) {
  const std::string classes =
      R"({"name":"template-notice","effect":"free","aim_us":2500000,"give_up_us":24000000,"worth":1.0,"late_worth":0.4,"key_scope":"all","window_us":5000000,"stream":false},
      {"name":"order-payment","effect":"single_shot","aim_us":2000000,"give_up_us":16000000,"worth":3.0,"late_worth":0.3,"key_scope":"all","window_us":5000000,"stream":false})";
  const std::string guarded =
      R"(,{"name":"delivery","effect":"guarded","aim_us":3000000,"give_up_us":28000000,"worth":1.0,"late_worth":0.3,"key_scope":"all","window_us":7500000,"stream":false})";
  return R"({"name":"n0","seed":"8c1f30d27a5be964","listen":")" + relay.address() + R"(","discovery":")" +
         discovery + R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":)" +
         list_json(known, 0) +
         R"(,"settings":{"n_instances":1,"index":0,"zone":0,"discovery":"push","family":"deliver",
    "request_classes":[)" +
         classes + (keyed ? guarded : "") + R"(],
    "orgs":[{"name":"attiki","quota_per_s":190,"share":0.56},{"name":"kriti","quota_per_s":60,"share":0.44}],
    "skus":["bank"],"zones":["z"],"weights":"nominal","worth_by":"request","over_share_worth":0.2,
    "domain":{"max_calls":16,"late":"by_half","routes_apart":[false],"kind_batch":[1]},
    "feedback":{"names":["x0","x1"],"source":"answers"},
    "guarantees":{"answer_slack_us":20000,"cold_from":0.16,"cold_us":10000000,"fall_us":2000000,
                  "overload_factor":2.0,"stop_sending_within_us":1000000},
    "limits":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":1000000,"max_attempts":12,"max_open":241,
              "max_retry_after_us":2000000,"peers":false,"probes":false,"retry_after":false,"streams_per_conn":1},
    "resolution_us":5000}})";
}

}  // namespace rig
