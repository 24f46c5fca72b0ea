// The settings of hot upgrades; without a section `upgrade` they are off.
#pragma once

#include <chrono>
#include <string>

#include "limits.hpp"

namespace fennellane {

struct UpgradeSettings {
  std::string program;                            // empty: the path of the running program
  Time start_timeout = std::chrono::seconds(10);  // until the new program has checked its configuration
  Time state_timeout =
      std::chrono::milliseconds(400);  // from the freeze until it is ready; clients wait meanwhile
  Time takeover_timeout = std::chrono::milliseconds(200);  // until it confirms that it has taken over
  bool operator==(const UpgradeSettings&) const = default;
};

}  // namespace fennellane
