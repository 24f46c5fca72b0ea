// The relay's configuration: one JSON file, read once, and the values of it that the program uses.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "limits.hpp"
#include "settings.hpp"

namespace fennellane {

// What is wrong with the configuration, in one line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string host;  // numeric
  std::uint16_t port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

// One line of discovery's list.
struct HostEntry {
  std::string id;
  Address address;
  std::uint32_t zone = 0;  // positions in the settings' lists; past their end if unknown
  std::uint32_t kind = 0;
  std::uint32_t destination = 0;
  double rate = 0;
  starlinghook::Condition condition = starlinghook::Condition::ready;
};

struct HostList {
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<HostEntry> hosts;
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
