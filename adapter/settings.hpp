// The settings of one instance, read from path=value pairs: the simulator's wire brings them as text, the
// relay's configuration as JSON, and both are read here.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "starlinghook/delivery.hpp"

namespace wire {

// What was read is not what its description allows.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using SettingsMap = std::map<std::string, std::string>;

struct InstanceSettings {
  starlinghook::Settings settings;
  int allowance_field = -1;  // place of the allowance in load reports
  int limit_field = -1;
  bool rates_listed = true;                                 // false: the list's rates are placeholders
  std::vector<std::string> classes, tenants, kinds, zones;  // names, by position
  std::vector<std::string> report_names;                    // values of a load report, by place
};

// Unknown keys are skipped; a needed one that is missing or cannot be read throws BadInput.
InstanceSettings read_settings(SettingsMap values, std::uint64_t salt);
// The same from lines of path=value.
InstanceSettings parse_instance_settings(std::string_view text, std::uint64_t salt);

}  // namespace wire
