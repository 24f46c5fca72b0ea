// `fennellane upgrade`: requests an upgrade from the serving process and waits for the result.
#pragma once

#include <chrono>
#include <string>

namespace fennellane::upgrade {

// Prints one line. Returns 0 if the new process serves, 1 if the old one does or the result is unknown.
int request_upgrade(const std::string& state_folder, std::chrono::seconds wait);

}  // namespace fennellane::upgrade
