// The relay's configuration: one JSON file, read once, and the values of it that the program uses.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cluster.hpp"
#include "limits.hpp"
#include "settings.hpp"

namespace fennellane {

// What is wrong with the configuration, in one line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  Allowance allowance;
  wire::BootInfo boot;         // the module's settings, and names by position
  wire::SettingsMap settings;  // the same as they stand in the file
  HostList known;
  Limits limits;
};

Address parse_address(std::string_view text);                             // throws ConfigError
Config parse_config(const std::string& json);                             // throws ConfigError
HostList parse_hosts(std::string_view json, const wire::BootInfo& boot);  // throws ConfigError
// The names of the parts in which two configurations differ and that only a restart can change.
std::vector<std::string> fixed_parts_changed(const Config& running, const Config& wanted);
Config read_config(const std::string& path);  // throws ConfigError

}  // namespace fennellane
