// Upgrades under load, as the operators set them up; without a section of their own they are off.
#pragma once

#include <chrono>
#include <string>

#include "limits.hpp"

namespace fennellane {

struct UpgradeSettings {
  std::string program;                            // empty: the one that runs, by its path
  Time start_timeout = std::chrono::seconds(10);  // for the new program to look at its configuration
  Time state_timeout =
      std::chrono::milliseconds(400);  // from the freeze until it has all; clients wait for so long
  Time takeover_timeout = std::chrono::milliseconds(200);  // for its last word
  bool operator==(const UpgradeSettings&) const = default;
};

}  // namespace fennellane
