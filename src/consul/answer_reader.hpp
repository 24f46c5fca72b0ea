// Incremental reader of the answers of /v1/health/service/NAME that computes the difference to the previous
// answer. Performs no I/O: bytes in, a ServiceAnswer out.
//
// Memory is bounded by one element and the difference, not by the size of the answer: an element with
// unchanged text (compared by a 128-bit hash) is not parsed again. An answer is applied as a whole or not at
// all.
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

// An invalid answer; the message has one line.
class AnswerError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct AnswerLimits {
  std::size_t bytes = 32 * kMiB;    // of one answer
  std::size_t element = 64 * kKiB;  // bytes of one host
  std::size_t hosts = 20000;
};

// Splits the text of a JSON array into its elements.
class ArraySplitter {
 public:
  explicit ArraySplitter(std::size_t max_element) : max_element_(max_element) {}
  // Calls `callback(std::string_view)` for each complete element. Throws AnswerError.
  template <class Callback>
  void feed(std::string_view bytes, Callback callback);
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

// Maps zone and kind names to positions; an unknown name has a position past the end.
struct NamePositions {
  std::vector<std::string> zones, kinds;
};

class AnswerReader {
 public:
  AnswerReader(const ConsulSettings& settings, std::uint32_t service, const NamePositions& names,
               const AnswerLimits& limits);

  void begin();
  // Throws AnswerError, after which only `begin` may be called; the previous answer stays valid.
  void feed(std::string_view bytes);
  // Ends the answer. Throws AnswerError if it is incomplete.
  ServiceAnswer finish();
  // Drops the known hosts; the next ServiceAnswer is full.
  void reset();

  // Of the newest answer: the number of unusable hosts, and the error of the first one.
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
    std::uint32_t last_answer = 0;  // the newest answer that contained it
    bool usable = true;
  };
  void add_element(std::string_view element);
  Instance parse_instance(std::string_view element);
  void record_unusable(const std::string& id, const std::string& problem);

  const ConsulSettings& settings_;
  const std::uint32_t service_;
  const NamePositions& names_;
  const AnswerLimits limits_;
  ArraySplitter splitter_;
  std::unordered_map<Hash, Known, HashOf> known_;
  std::uint32_t answer_number_ = 0;
  bool next_is_full_ = true;
  std::size_t bytes_ = 0;
  std::size_t host_count_ = 0;
  struct Staged {
    Hash hash;
    Instance instance;
  };
  std::vector<Staged> staged_;  // new or changed in the present answer
  std::size_t unusable_ = 0;
  std::string first_problem_;
};

}  // namespace fennellane
