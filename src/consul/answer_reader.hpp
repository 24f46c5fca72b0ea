// Reads the answer of /v1/health/service/NAME as it comes, piece by piece, and says what differs from the
// answer before. No input or output: bytes in, a ServiceAnswer out.
//
// Memory is bounded by one element and by what differs, not by the answer: an element whose text is the same
// as before is not read again (compared by a 128-bit hash). An answer counts as a whole or not at all.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "byte_units.hpp"
#include "consul_settings.hpp"
#include "membership.hpp"

namespace fennellane {

// What is wrong with an answer, in one line.
class AnswerError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct AnswerLimits {
  std::size_t bytes = 32 * kMiB;    // of one answer
  std::size_t element = 64 * kKiB;  // bytes of one host
  std::size_t hosts = 20000;
};

// Cuts the text of a JSON array into its elements.
class ArraySplitter {
 public:
  explicit ArraySplitter(std::size_t most_element) : max_element_(most_element) {}
  // Calls `take(std::string_view)` for each element that is complete. Throws AnswerError.
  template <class Take>
  void feed(std::string_view bytes, Take take);
  bool done() const { return state_ == State::after; }
  void reset();

 private:
  enum class State { before, first, element, between, next, after };
  const std::size_t max_element_;
  State state_ = State::before;
  std::string element_;
  unsigned depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
};

// Turns zone and kind names into positions; past the end where they are unknown.
struct NamePositions {
  std::vector<std::string> zones, kinds;
};

class AnswerReader {
 public:
  AnswerReader(const ConsulSettings& settings, std::uint32_t service, const NamePositions& names,
               const AnswerLimits& limits);

  void begin();
  // Throws AnswerError, after which only `begin` may be called; the answer before still stands.
  void feed(std::string_view bytes);
  // The end of the answer. Throws AnswerError if it is not whole.
  ServiceAnswer finish();
  // All that is known is forgotten; the next answer is whole.
  void reset();

  // Of the newest answer: hosts that cannot be used, and what is wrong with the first.
  std::size_t unusable() const { return unusable_; }
  const std::string& first_problem() const { return first_problem_; }
  std::size_t hosts() const { return known_.size(); }

 private:
  struct Hash {
    XXH128_hash_t value;
    bool operator==(const Hash& other) const { return XXH128_isEqual(value, other.value) != 0; }
  };
  struct HashOf {
    std::size_t operator()(const Hash& h) const { return static_cast<std::size_t>(h.value.low64); }
  };
  struct Known {
    std::string id;
    std::uint32_t last_answer = 0;  // the newest answer that has it
    bool usable = true;
  };
  void add_element(std::string_view element);
  Instance parse_instance(std::string_view element);
  void record_unusable(const std::string& id, const std::string& what);

  const ConsulSettings& settings_;
  const std::uint32_t service_;
  const NamePositions& names_;
  const AnswerLimits limits_;
  ArraySplitter splitter_;
  std::unordered_map<Hash, Known, HashOf> known_;
  std::uint32_t answer_number_ = 0;  // counts them
  bool next_is_full_ = true;
  std::size_t bytes_ = 0;
  std::size_t host_count_ = 0;
  struct Staged {
    Hash hash;
    Instance instance;
  };
  std::vector<Staged> staged_;  // of the present answer, new or changed
  std::size_t unusable_ = 0;
  std::string first_problem_;
};

}  // namespace fennellane
