// The header fields of one HTTP message. All names and values are in one string, so that a head of very many
// short fields takes little more memory than its bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennellane {

class HeaderFields {
 public:
  // Names and values together are at most this long.
  static constexpr std::size_t kMaxBytes = UINT16_MAX;

  bool empty() const { return fields_.empty(); }
  std::size_t size() const { return fields_.size(); }
  std::string_view name(std::size_t i) const;
  std::string_view value(std::size_t i) const;
  // The only value under this lower-case name; a single comma if the name occurs more than once.
  std::optional<std::string_view> find(std::string_view lower_case_name) const;

  void begin_field();
  // Of the newest field: its name, in parts, then its value, in parts. They must keep to `kMaxBytes`.
  void append_name(std::string_view part);
  void append_value(std::string_view part);
  // Makes names lower-case and removes white space behind values.
  void normalize();
  void clear();  // also releases the memory of a large head

  template <class Archive>
  void serialize(Archive& archive) {
    archive(text_, fields_);
  }

 private:
  struct Field {
    std::uint16_t begin = 0;  // of its name in the text; the value follows
    std::uint16_t name_size = 0;
    std::uint16_t value_size = 0;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(begin, name_size, value_size);
    }
  };

  void append(std::string_view part);

  std::string text_;
  std::vector<Field> fields_;
};

}  // namespace fennellane
