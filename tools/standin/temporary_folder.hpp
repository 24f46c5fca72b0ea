// A folder of its own, which is removed with all that is in it.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace fennellane::standin {

class TemporaryFolder {
 public:
  // Throws std::runtime_error where there is no room for it.
  explicit TemporaryFolder(const std::string& purpose) {
    std::string name = (std::filesystem::temp_directory_path() / (purpose + "-XXXXXX")).string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for " + purpose);
    path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace fennellane::standin
