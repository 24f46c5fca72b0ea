// Atomic replacement of a small file.
#pragma once

#include <string>
#include <string_view>

namespace fennellane {

// Writes the text to the file `temporary` and renames it to `path`. Returns false and sets errno on failure:
// the file at `path` is unchanged and the temporary file is removed.
bool replace_file(const std::string& path, const std::string& temporary, std::string_view text);

}  // namespace fennellane
