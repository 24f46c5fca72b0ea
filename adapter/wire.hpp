// The simulator's wire format: frames, event and action records, list entries. Translates only and decides
// nothing.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "settings.hpp"
#include "starlinghook/delivery.hpp"

namespace wire {

enum class EventCode : std::uint8_t {
  health_result = 16,
  ended = 17,
  list = 18,
  inbox = 19,
  wake = 20,
  order = 21,
  kill = 22,
  roster_change = 23,
  opened = 24,
  new_instance = 25,
  dropped = 26,
};

enum class ActionCode : std::uint8_t {
  hand_off = 16,
  reject = 17,
  end_failed = 18,
  retract = 19,
  after = 20,
  sound_out = 21,
  release = 22,
  memo_to = 23,
  say_log = 24,
  panic = 25,
  watch = 26,
  list_all = 27,
};

constexpr std::size_t kBatchHeaderSize = 16;
constexpr std::size_t kReplyHeaderSize = 8;
constexpr std::size_t kEventSize = 48;
constexpr std::size_t kActionSize = 24;
constexpr std::size_t kEntrySize = 22;
constexpr std::uint16_t kAllPeers = 0xffff;
constexpr std::size_t kMaxLists = 16;

enum class RosterForm : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };

// One decoded event record. Only the fields that belong to its code are set.
struct EventRecord {
  EventCode code{};
  std::uint16_t instance = 0;
  std::uint64_t salt = 0;                            // new_instance
  std::string text;                                  // boot_info, or the bytes of a note
  std::uint16_t list_number = 0;                     // list, roster_change
  std::vector<starlinghook::EndpointEntry> entries;  // list
  RosterForm form{};                                 // roster_change
  std::uint64_t message = 0;                         // order, ended, opened, dropped
  starlinghook::MessageArrived arrival;              // order
  starlinghook::AttemptEnded ended;                  // ended; also the outcome of the probe in health_result
  std::array<float, 4> stats{};                      // ended, health_result
  std::uint8_t stat_count = 0;
  std::uint64_t label = 0;   // wake
  std::uint32_t sender = 0;  // inbox
};

struct Batch {
  starlinghook::Time clock{};
  std::vector<EventRecord> events;
};

// Decodes a complete frame including its header. Throws InputError.
Batch decode_batch(std::string_view frame);
// Length of the frame that starts with these bytes, of which there must be at least four. Throws InputError.
std::size_t frame_length(std::string_view start);

class ReplyWriter {
 public:
  void add(std::uint16_t instance, const starlinghook::Action& action);
  void panic(std::uint16_t instance, std::string_view text);
  std::string finish();

 private:
  std::string records_;
  std::string tail_;
  std::uint32_t count_ = 0;
};

}  // namespace wire
