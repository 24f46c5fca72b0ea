// A small file that is there whole or as it was before.
#pragma once

#include <string>
#include <string_view>

namespace fennellane {

// Writes the text beside the file, under `fresh`, and gives it the file's name. False, with errno, if the
// disk does not take it: the file is as it was, and what was begun is gone.
bool replace_file(const std::string& path, const std::string& fresh, std::string_view text);

}  // namespace fennellane
