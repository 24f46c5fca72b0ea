// Writing a whole text to a file descriptor that blocks.
#pragma once

#include <string_view>

namespace fennellane {

// 0, or the errno with which it failed; a part may have been written then.
int write_all(int descriptor, std::string_view text);

}  // namespace fennellane
