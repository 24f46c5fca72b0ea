// The operators' settings file, checked against deploy/settings.schema.json.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

#include "config.hpp"

namespace fennellane {

// The schema that the program was built with.
const Json::Value& settings_schema();

// What `text` says, over the platform's configuration or, without one, over the defaults. `path` names the
// file in messages: "settings.sexp:12: consul.address: ...". Throws ConfigError.
Config apply_settings(std::string_view text, const std::string& path, std::optional<Config> platform);

}  // namespace fennellane
