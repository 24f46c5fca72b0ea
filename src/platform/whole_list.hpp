// The list as a source has told it so far: a whole one, and the changes since. No input or output.
#pragma once

#include <map>
#include <string>

#include "cluster.hpp"

namespace fennellane {

class WholeList {
 public:
  void take(const HostList& list) {
    if (list.whole) hosts_.clear();
    known_ = known_ || list.whole;
    version_ = list.version;
    for (const HostEntry& host : list.hosts) {
      if (host.condition == starlinghook::Condition::gone) {
        hosts_.erase(host.id);
      } else {
        hosts_[host.id] = host;
      }
    }
  }
  // Whether a whole list has been told at all: changes alone make none.
  bool known() const { return known_; }
  HostList whole() const {
    HostList list;
    list.version = version_;
    list.whole = true;
    for (const auto& [id, host] : hosts_) list.hosts.push_back(host);
    return list;
  }

 private:
  std::map<std::string, HostEntry> hosts_;
  std::uint64_t version_ = 0;
  bool known_ = false;
};

}  // namespace fennellane
