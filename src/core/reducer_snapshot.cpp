// Serialization of the reducer's state for a process that takes over from another. Points in time are kept as
// they are: both processes read the same clock.
#include "fleet_snapshot.hpp"
#include "reducer.hpp"
#include "snapshot.hpp"

namespace fennellane {
namespace {

constexpr std::uint32_t kSnapshotVersion = 8;

}  // namespace

template <class Archive>
void Reducer::Stream::serialize(Archive& archive) {
  archive(id, idempotency_key, fingerprint, attempts, repeatable, host, in_flight, given_up, late_at,
          deadline);
}

template <class Archive>
void Reducer::Host::serialize(Archive& archive) {
  archive(entry, calls_in_flight);
}

template <class Archive>
void Reducer::serialize_state(Archive& archive) {
  archive(now_, next_stream_, streams_, ended_, cluster_, next_host_, destinations_, host_list_received_,
          timer_);
}

std::string Reducer::save_fleet() {
  if (!fleet_) return "";
  return write_snapshot([this](SnapshotWriter& archive) {
    archive(fleet_->snapshot_parts(),
            write_snapshot([this](SnapshotWriter& leases) { fleet_->serialize_state(leases); }));
  });
}

// False if there is no state to restore, or it is of other roles, whose sessions then expire.
bool Reducer::load_fleet() {
  const std::string bytes = std::exchange(fleet_snapshot_, {});
  if (bytes.empty()) return false;
  std::vector<std::string> roles;
  std::string leases;
  const char* const name = "the fleet part of the reducer snapshot";
  read_snapshot(bytes, name, [&](SnapshotReader& archive) { archive(roles, leases); });
  if (roles != fleet_->snapshot_parts()) return false;
  read_snapshot(leases, name, [this](SnapshotReader& archive) { fleet_->serialize_state(archive); });
  return true;
}

std::string Reducer::save() {
  return write_snapshot(kSnapshotVersion, [this](SnapshotWriter& archive) {
    archive(forwarder_.save(), save_fleet());
    serialize_state(archive);
  });
}

void Reducer::load(const starlinghook::Settings& settings, std::string_view bytes,
                   const BodyLookup& body_of) {
  read_snapshot(bytes, "the reducer snapshot", kSnapshotVersion, [&](SnapshotReader& archive) {
    std::string module_state;
    archive(module_state, fleet_snapshot_);
    forwarder_ = starlinghook::Forwarder::load(settings, module_state);
    serialize_state(archive);
  });
  for (auto& [id, stream] : streams_) {
    stream_ids_[stream.id] = id;
    given_up_ += stream.given_up ? 1 : 0;
    if (stream.given_up) continue;
    stream.body = body_of(id);
    if (!stream.body) throw starlinghook::SnapshotError("a held message is missing from the journal");
  }
  for (const auto& [id, host] : cluster_) host_ids_[host.entry.id] = id;
}

}  // namespace fennellane
