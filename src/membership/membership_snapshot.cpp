// Serialization of the membership state, for a process that takes over from another.
#include "membership.hpp"
#include "snapshot.hpp"

namespace fennellane {
namespace {

constexpr std::uint32_t kSnapshotVersion = 1;

}  // namespace

template <class Archive>
void serialize(Archive& archive, Instance& i) {
  archive(i.id, i.usable, i.address, i.zone, i.kind, i.destination, i.rate, i.weight_passing,
          i.weight_warning, i.health);
}

template <class Archive>
void Membership::Host::serialize(Archive& archive) {
  archive(service, reported, damping, suppressed, lost_at, listed);
}

template <class Archive>
void Membership::serialize_state(Archive& archive) {
  archive(hosts_, departed_, unanswered_services_, full_list_sent_, due_times_);
}

std::string Membership::save() {
  return write_snapshot(kSnapshotVersion, [this](SnapshotWriter& archive) { serialize_state(archive); });
}

void Membership::load(std::string_view bytes) {
  read_snapshot(bytes, "the membership", kSnapshotVersion,
                [this](SnapshotReader& archive) { serialize_state(archive); });
  for (auto& [id, host] : hosts_) destinations_[host.reported.destination].push_back(&host);
}

}  // namespace fennellane
