// The relay's configuration: one JSON file, read once, and the values of it that the program uses.
#pragma once

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

// What is wrong with the configuration, in one line.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class MembershipSource { platform, list, consul };

struct Config {
  std::string name;
  Address listen;
  bool has_platform = true;  // false: there is none, and the settings file stands alone
  Address discovery;         // the platform's
  MembershipSource source = MembershipSource::platform;
  std::optional<ConsulSettings> consul;
  LogSettings log;
  std::optional<UpgradeSettings> upgrade;  // none: upgrades are off
  std::optional<FleetSettings> fleet;      // none: no role of the fleet is sought; with it, `consul` is there
  std::optional<RecordSettings> record;    // none: no flight record
  bool stores_list = false;  // a settings file is there, so a list may have to be kept on the disk
  std::uint64_t seed = 0;
  ResourceLimits allowance;
  wire::InstanceSettings boot;     // the module's settings, and names by position
  wire::SettingsMap raw_settings;  // the same as they stand in the file
  HostList known_hosts;            // as an earlier life had it or, by the source `list`, the whole cluster
  Limits limits;
};

bool is_numeric_host(const std::string& host);                                    // an IPv4 or IPv6 address
Address parse_numeric_address(const std::string& text);                           // throws ConfigError
Address parse_address(std::string_view text);                                     // throws ConfigError
Config parse_config(const std::string& json);                                     // throws ConfigError
HostList parse_hosts(std::string_view json, const wire::InstanceSettings& boot);  // throws ConfigError
// The same list in the platform's form, for `parse_hosts` to read.
std::string hosts_json(const HostList& list, const wire::InstanceSettings& boot);
// The names of the parts in which two configurations differ and that only a restart can change.
std::vector<std::string> changed_fixed_parts(const Config& running, const Config& wanted);
// The platform's file, the operators' file, or both; one path may be empty. Throws ConfigError.
Config read_config(const std::string& path, const std::string& settings_path = {});
// Fills the limits from what the configuration says; the last step of reading one.
void fill_limits(Config& config);

}  // namespace fennellane
