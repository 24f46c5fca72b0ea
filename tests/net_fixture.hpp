// Shared by the relay's tests: a configuration, and random splits from fixed seeds.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config.hpp"
#include "sample_config.hpp"

namespace fennellane::test {

using standin::config_json;
using standin::ConfigParts;
using standin::HostLine;
using standin::list_json;
using standin::request_text;

// The text in pieces of random sizes.
inline std::vector<std::string_view> split_at_random(std::string_view text, std::mt19937& random) {
  std::vector<std::string_view> pieces;
  while (!text.empty()) {
    const std::size_t max_size = random() % 4 == 0 ? text.size() : 12;
    const std::size_t n = std::min<std::size_t>(text.size(), 1 + random() % max_size);
    pieces.push_back(text.substr(0, n));
    text.remove_prefix(n);
  }
  return pieces;
}

// A valid text, or one of spaces, with some bytes changed.
inline std::string corrupted_copy(std::string text, std::mt19937& random) {
  if (random() % 3 == 0) text.assign(random() % 400, ' ');
  const std::size_t changes = text.empty() ? 0 : 1 + random() % (text.size() < 20 ? 4 : text.size() / 10);
  for (std::size_t i = 0; i < changes; ++i) text[random() % text.size()] = static_cast<char>(random());
  return text;
}

}  // namespace fennellane::test
