// The texts of deploy/*.schema.json, built in so that the program needs no extra files.
#pragma once

namespace fennellane {
extern const char* const kSettingsSchema;  // the operators' settings
extern const char* const kConfigSchema;    // the platform's configuration
}  // namespace fennellane
