// The relay's configuration, read from the platform's JSON file, the operators' settings file, or both.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cluster.hpp"
#include "consul_settings.hpp"
#include "fleet_settings.hpp"
#include "limits.hpp"
#include "log_settings.hpp"
#include "record_settings.hpp"
#include "settings.hpp"
#include "upgrade_settings.hpp"

namespace fennellane {

// Says in one line what is wrong with the configuration.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Who answers at the address of discovery: an agent on this machine that is sent all changes, or one service
// that all relays ask. Unknown if the settings do not say.
enum class DiscoveryMode : std::uint8_t { unknown, push, ask };

enum class MembershipSource { platform, list, consul };

struct Config {
  std::string name;
  Address listen;
  bool has_platform = true;  // false: there is only the settings file
  Address discovery;         // the platform's
  DiscoveryMode discovery_mode = DiscoveryMode::unknown;
  MembershipSource source = MembershipSource::platform;
  std::optional<ConsulSettings> consul;
  LogSettings log;
  std::optional<UpgradeSettings> upgrade;  // none: upgrades are off
  std::optional<FleetSettings> fleet;      // none: no work of the fleet; otherwise `consul` is set
  std::optional<RecordSettings> record;    // none: no flight record
  bool stores_list = false;                // there is a settings file, so a host list may be stored on disk
  std::uint64_t seed = 0;
  ResourceLimits allowance;
  wire::InstanceSettings boot;     // the reducer's settings, and names by index
  wire::SettingsMap raw_settings;  // the same as given in the file
  HostList known_hosts;  // as stored by a previous process or, for the source `list`, the whole cluster
  Limits limits;

  const DiscoveryTiming& discovery_timing() const;
};

bool is_numeric_host(const std::string& host);                                    // an IPv4 or IPv6 address
Address parse_numeric_address(const std::string& text);                           // throws ConfigError
Address parse_address(std::string_view text);                                     // throws ConfigError
Config parse_config(const std::string& json);                                     // throws ConfigError
HostList parse_hosts(std::string_view json, const wire::InstanceSettings& boot);  // throws ConfigError
// Writes the list in the platform's format, which `parse_hosts` reads.
std::string hosts_json(const HostList& list, const wire::InstanceSettings& boot);
// The names of the parts that differ between two configurations and that only a restart can change.
std::vector<std::string> changed_fixed_parts(const Config& running, const Config& wanted);
// Reads the platform's file, the operators' file, or both; one path may be empty. Throws ConfigError.
Config read_config(const std::string& path, const std::string& settings_path = {});
// Derives the limits from the rest of the configuration; the last step of reading one.
void fill_limits(Config& config);

}  // namespace fennellane
