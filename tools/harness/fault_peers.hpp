// The partners and the platform of the fault laboratory: they refuse, fail, answer late or not at all, and
// their answers may come once more.
#pragma once

#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "fault_history.hpp"
#include "fault_plan.hpp"
#include "sample_config.hpp"
#include "scripted_server.hpp"

namespace fennellane::harness {

// A partner's endpoint.
class FaultyPartner {
 public:
  FaultyPartner(std::uint64_t seed, const CopyPlan& copies);
  std::string address() const { return server_.address(); }
  Arrivals arrivals() const;

 private:
  standin::ScriptedAnswer take(const standin::Request& request);

  const CopyPlan copies_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  Arrivals arrivals_;
  standin::ScriptedServer server_;  // last, since its threads use all the others
};

// Discovery with a list that stays, and notices. Copies are of the answers to notices and of the list.
class FaultyPlatform {
 public:
  FaultyPlatform(std::uint64_t seed, const FaultPlan& plan, const std::vector<standin::HostLine>& hosts);
  std::string address() const { return server_.address(); }
  // Of batches that were answered with 204.
  Notices notices() const;

 private:
  standin::ScriptedAnswer handle(const standin::Request& request);
  standin::ScriptedAnswer take_notices(const standin::Request& request);
  void keep_notices(const std::string& batch);

  const CopyPlan copies_;
  const unsigned refused_in_100_;
  const std::string list_;
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  Notices notices_;
  standin::ScriptedServer server_;  // last, since its threads use all the others
};

}  // namespace fennellane::harness
