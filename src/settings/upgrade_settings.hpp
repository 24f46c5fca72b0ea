// Upgrades under load, as the operators set them up; without a section of their own they are off.
#pragma once

#include <chrono>
#include <string>

#include "limits.hpp"

namespace fennellane {

struct UpgradeSettings {
  std::string program;                          // empty: the one that runs, by its path
  Time start = std::chrono::seconds(10);        // for the new program to look at its configuration
  Time state = std::chrono::milliseconds(400);  // from the freeze until it has all; clients wait for so long
  Time taken = std::chrono::milliseconds(200);  // for its last word
  bool operator==(const UpgradeSettings&) const = default;
};

}  // namespace fennellane
