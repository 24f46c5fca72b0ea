// What the reducer remembers, as bytes, for a process that takes over from another. Times stay as they are:
// both processes read one clock.
#include "fleet_memory.hpp"
#include "memory.hpp"
#include "reducer.hpp"

namespace fennellane {
namespace {

constexpr std::uint32_t kMemoryVersion = 7;

}  // namespace

template <class Archive>
void Reducer::Stream::serialize(Archive& archive) {
  archive(id, idempotency_key, attempts, repeatable, host, out, given_up, late_at, deadline);
}

template <class Archive>
void Reducer::Host::serialize(Archive& archive) {
  archive(entry, out);
}

template <class Archive>
void Reducer::remember(Archive& archive) {
  archive(now_, next_, streams_, ended_, cluster_, next_host_, destinations_, listed_, timer_);
}

std::string Reducer::save_fleet() {
  if (!fleet_) return "";
  return written_memory([this](MemoryWriter& archive) {
    archive(fleet_->parts(), written_memory([this](MemoryWriter& leases) { fleet_->remember(leases); }));
  });
}

// False: there is nothing to go on with. Sessions of other roles lapse.
bool Reducer::load_fleet() {
  const std::string bytes = std::exchange(fleet_memory_, {});
  if (bytes.empty()) return false;
  std::vector<std::string> roles;
  std::string leases;
  const char* const whose = "the fleet's part of the reducer's memory";
  read_memory(bytes, whose, [&](MemoryReader& archive) { archive(roles, leases); });
  if (roles != fleet_->parts()) return false;
  read_memory(leases, whose, [this](MemoryReader& archive) { fleet_->remember(archive); });
  return true;
}

std::string Reducer::save() {
  return written_memory(kMemoryVersion, [this](MemoryWriter& archive) {
    archive(forwarder_.save(), save_fleet());
    remember(archive);
  });
}

void Reducer::load(const starlinghook::Settings& settings, std::string_view bytes, const BodyOf& body_of) {
  read_memory(bytes, "the reducer's memory", kMemoryVersion, [&](MemoryReader& archive) {
    std::string module;
    archive(module, fleet_memory_);
    forwarder_ = starlinghook::Forwarder::load(settings, module);
    remember(archive);
  });
  for (auto& [id, stream] : streams_) {
    by_id_[stream.id] = id;
    given_up_ += stream.given_up ? 1 : 0;
    if (stream.given_up) continue;
    stream.body = body_of(id);
    if (!stream.body) throw starlinghook::MemoryError("a message is held that the journal does not have");
  }
  for (const auto& [id, host] : cluster_) host_ids_[host.entry.id] = id;
  ended_ids_.insert(ended_.begin(), ended_.end());
}

}  // namespace fennellane
