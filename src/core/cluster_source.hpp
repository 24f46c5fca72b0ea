// Where the cluster's list comes from: the platform's discovery, Consul, or the settings themselves.
#pragma once

#include <functional>

#include "cluster.hpp"

namespace fennellane {

class ClusterSource {
 public:
  // `cached`: known from an earlier life and maybe old.
  using OnHostList = std::function<void(HostList, bool cached)>;
  virtual ~ClusterSource() = default;
  virtual void start() = 0;
  // No list comes after this. What it has open ends by itself.
  virtual void stop() = 0;
  // The process is about to end: what the source holds of the relay's in other systems is given back, or,
  // where the relay `returns` soon, shown as out.
  virtual void leave(bool returns) { (void)returns; }
  // Whether the relay serves, as /up says.
  virtual void set_ready() {}
};

}  // namespace fennellane
