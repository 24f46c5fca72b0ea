// The section of the operators' settings on Consul.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster.hpp"
#include "limits.hpp"
#include "membership.hpp"

namespace fennellane {

enum class Consistency { normal, stale, consistent };

struct ConsulService {
  std::string name;
  std::string tag;  // only instances with this tag; empty: all
  // Defaults for what an instance's Meta leaves out.
  std::optional<std::uint32_t> destination;
  std::string zone, kind;
  double rate = 0;
  bool operator==(const ConsulService&) const = default;
};

struct ConsulMetaKeys {
  std::string destination = "destination", zone = "zone", kind = "kind", rate = "rate";
  bool operator==(const ConsulMetaKeys&) const = default;
};

struct ConsulRegistration {
  std::string service;
  std::string address;  // numeric; where others reach this relay
  std::uint16_t port = 0;
  Time ttl = std::chrono::seconds(10);
  Time deregister_after = std::chrono::minutes(10);
  std::string relay, zone;  // Meta of the service, for the disruption budget; empty: left out
  bool operator==(const ConsulRegistration&) const = default;
};

struct ConsulSettings {
  Address agent;
  std::string token;  // never logged
  std::string datacenter;
  Consistency consistency = Consistency::normal;
  Time blocking_wait = std::chrono::seconds(55);
  Time answer_timeout = std::chrono::seconds(10);
  Time max_stale = std::chrono::seconds(5);
  double queries_per_second = 50;
  std::vector<ConsulService> services;
  ConsulMetaKeys meta;
  MembershipSettings membership;
  std::optional<ConsulRegistration> registration;
  bool operator==(const ConsulSettings&) const = default;
};

}  // namespace fennellane
