// Writes all of a text to a blocking file descriptor.
#pragma once

#include <string_view>

namespace fennellane {

// Returns 0 or the errno of the failure; part of the text may have been written by then.
int write_all(int descriptor, std::string_view text);

}  // namespace fennellane
