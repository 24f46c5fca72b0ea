// The text of deploy/settings.schema.json, built in so that the program needs no file beside it.
#pragma once

namespace fennellane {
extern const char* const kSettingsSchema;
}  // namespace fennellane
