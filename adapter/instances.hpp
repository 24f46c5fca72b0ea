// The independent forwarders of one process; turns each batch of events into one reply.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wire.hpp"

namespace wire {

class Instances {
 public:
  // Processes one complete frame and returns the reply frame. Throws InputError.
  std::string process_frame(std::string_view frame);

 private:
  struct Instance {
    InstanceSettings config;
    starlinghook::Forwarder forwarder;
  };
  void handle_event(starlinghook::Time clock, const EventRecord& record);
  bool to_event(const EventRecord& record, const InstanceSettings& config, starlinghook::Event& event) const;

  std::map<std::uint16_t, std::unique_ptr<Instance>> instances_;
  std::array<std::vector<starlinghook::EndpointEntry>, kMaxLists> lists_;
  std::vector<starlinghook::Action> actions_;
  ReplyWriter reply_;
};

}  // namespace wire
