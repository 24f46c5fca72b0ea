// Settings of one instance, read from path=value pairs. The simulator sends them as text, the relay's
// configuration holds them as JSON; both are read here.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "starlinghook/delivery.hpp"

namespace wire {

// Input that does not match its format.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using SettingsMap = std::map<std::string, std::string>;

struct InstanceSettings {
  starlinghook::Settings settings;
  int allowance_field = -1;  // index of the allowance in load reports
  int limit_field = -1;
  bool rates_listed = true;                                 // false: the rates in the list are placeholders
  std::vector<std::string> classes, tenants, kinds, zones;  // names, by index
  std::vector<std::string> report_names;                    // names of the values in a load report, by index
};

// Ignores unknown keys; throws InputError if a required one is missing or cannot be parsed.
InstanceSettings read_settings(SettingsMap values, std::uint64_t salt);
// Reads the same settings from lines of path=value.
InstanceSettings parse_instance_settings(std::string_view text, std::uint64_t salt);

}  // namespace wire
