// `fennellane upgrade`: asks the serving process for an upgrade and waits for what comes of it.
#pragma once

#include <chrono>
#include <string>

namespace fennellane::upgrade {

// Prints one line. 0: the new process serves; 1: the old one does, or nothing is known.
int request_upgrade(const std::string& state_folder, std::chrono::seconds wait);

}  // namespace fennellane::upgrade
