// Source of the cluster's host list: the platform's discovery, Consul, or the settings.
#pragma once

#include <functional>

#include "cluster.hpp"

namespace fennellane {

class ClusterSource {
 public:
  // `cached`: saved by a previous process and possibly out of date.
  using OnHostList = std::function<void(HostList, bool cached)>;
  virtual ~ClusterSource() = default;
  virtual void start() = 0;
  // No list is delivered after this call. Open connections end on their own.
  virtual void stop() = 0;
  // Called before the process exits: deregisters the relay from other systems or, if the relay `returns`
  // soon, marks it as offline there.
  virtual void leave(bool returns) { (void)returns; }
  // Called when the relay is ready to serve, as /up reports.
  virtual void set_ready() {}
};

}  // namespace fennellane
