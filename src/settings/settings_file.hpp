// The operators' settings file, validated against deploy/settings.schema.json.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

#include "config.hpp"

namespace fennellane {

// The schema that is built into the program.
const Json::Value& settings_schema();

// Applies the settings in `text` on top of the platform's configuration or, without one, of the defaults.
// `path` names the file in error messages: "settings.sexp:12: consul.address: ...". Throws ConfigError.
Config apply_settings(std::string_view text, const std::string& path, std::optional<Config> platform);

}  // namespace fennellane
