// Merges a full host list with the changes since. Pure state: performs no I/O.
#pragma once

#include <map>
#include <string>

#include "cluster.hpp"

namespace fennellane {

class MergedHostList {
 public:
  void apply(const HostList& list) {
    if (list.full) hosts_.clear();
    has_full_list_ = has_full_list_ || list.full;
    version_ = list.version;
    for (const HostEntry& host : list.hosts) {
      if (host.condition == starlinghook::Condition::gone) {
        hosts_.erase(host.id);
      } else {
        hosts_[host.id] = host;
      }
    }
  }
  // Whether a full list has been received; changes alone do not make one.
  bool has_full_list() const { return has_full_list_; }
  HostList full_list() const {
    HostList list;
    list.version = version_;
    list.full = true;
    for (const auto& [id, host] : hosts_) list.hosts.push_back(host);
    return list;
  }

 private:
  std::map<std::string, HostEntry> hosts_;
  std::uint64_t version_ = 0;
  bool has_full_list_ = false;
};

}  // namespace fennellane
