// What membership remembers, as bytes, for a process that takes over from another.
#include "membership.hpp"
#include "memory.hpp"

namespace fennellane {
namespace {

constexpr std::uint32_t kMemoryVersion = 1;

}  // namespace

template <class Archive>
void serialize(Archive& archive, Instance& i) {
  archive(i.id, i.usable, i.address, i.zone, i.kind, i.destination, i.rate, i.weight_passing,
          i.weight_warning, i.health);
}

template <class Archive>
void Membership::Host::serialize(Archive& archive) {
  archive(service, told, damping, suppressed, lost_at, listed);
}

template <class Archive>
void Membership::remember(Archive& archive) {
  archive(hosts_, gone_before_, unanswered_, told_whole_, waiting_);
}

std::string Membership::save() {
  return written_memory(kMemoryVersion, [this](MemoryWriter& archive) { remember(archive); });
}

void Membership::load(std::string_view bytes) {
  read_memory(bytes, "the membership", kMemoryVersion, [this](MemoryReader& archive) { remember(archive); });
  for (auto& [id, host] : hosts_) destinations_[host.told.destination].push_back(&host);
}

}  // namespace fennellane
