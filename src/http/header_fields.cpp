#include "header_fields.hpp"

#include <algorithm>

#include "ascii.hpp"
#include "bounded_append.hpp"

namespace fennellane {
namespace {

constexpr std::size_t kKeptBytes = 1024;  // by clear(), for the next head

}  // namespace

std::string_view HeaderFields::name(std::size_t i) const {
  const Field& field = fields_[i];
  return std::string_view(text_).substr(field.begin, field.name_size);
}

std::string_view HeaderFields::value(std::size_t i) const {
  const Field& field = fields_[i];
  return std::string_view(text_).substr(field.begin + field.name_size, field.value_size);
}

// A repeated header could be read in two ways. The values that matter contain no comma, so returning one
// makes the header malformed.
std::optional<std::string_view> HeaderFields::find(std::string_view lower_case_name) const {
  std::optional<std::string_view> found;
  for (std::size_t i = 0; i < fields_.size(); ++i) {
    if (name(i) != lower_case_name) continue;
    if (found) return std::string_view(",");
    found = value(i);
  }
  return found;
}

void HeaderFields::begin_field() {
  reserve_bounded(fields_, 1, kMaxBytes);
  fields_.push_back({static_cast<std::uint16_t>(text_.size()), 0, 0});
}

void HeaderFields::append(std::string_view part) {
  reserve_bounded(text_, part.size(), kMaxBytes);
  text_ += part;
}

void HeaderFields::append_name(std::string_view part) {
  append(part);
  fields_.back().name_size = static_cast<std::uint16_t>(fields_.back().name_size + part.size());
}

void HeaderFields::append_value(std::string_view part) {
  append(part);
  fields_.back().value_size = static_cast<std::uint16_t>(fields_.back().value_size + part.size());
}

void HeaderFields::normalize() {
  for (std::size_t i = 0; i < fields_.size(); ++i) {
    Field& field = fields_[i];
    const auto begin = text_.begin() + field.begin;
    std::transform(begin, begin + field.name_size, begin, to_lower);
    field.value_size = static_cast<std::uint16_t>(value(i).find_last_not_of(" \t") + 1);
  }
}

void HeaderFields::clear() {
  if (text_.capacity() > kKeptBytes) text_ = {};
  if (fields_.capacity() * sizeof(Field) > kKeptBytes) fields_ = {};
  text_.clear();
  fields_.clear();
}

}  // namespace fennellane
