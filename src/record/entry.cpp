#include "entry.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace fennellane::record {

std::string_view Entry::name_text() const {
  const auto end = std::find(name.begin(), name.end(), '\0');
  return {name.data(), static_cast<std::size_t>(end - name.begin())};
}

std::array<char, kNameSize> short_name(std::string_view name) {
  std::array<char, kNameSize> kept{};
  if (name.size() <= kNameSize) {
    std::copy(name.begin(), name.end(), kept.begin());
    return kept;
  }
  constexpr std::size_t kBeginning = kNameSize - 9;  // "~" and eight digits
  std::copy_n(name.begin(), kBeginning, kept.begin());
  char hash[10];
  std::snprintf(hash, sizeof hash, "~%08x", XXH32(name.data(), name.size(), 0));
  std::copy_n(hash, 9, kept.begin() + kBeginning);
  return kept;
}

}  // namespace fennellane::record
