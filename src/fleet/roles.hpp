// One relay's tasks on behalf of the whole fleet, and when it may perform them: a lease for each configured
// role, and the work of the roles that it holds. Pure state machine: performs no I/O and reads no clock; part
// of the reducer's state. See docs/ownership.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "arbiter.hpp"
#include "coordinator.hpp"
#include "lease.hpp"
#include "mover.hpp"
#include "refresh.hpp"
#include "reporter.hpp"
#include "slot.hpp"
#include "sweep.hpp"
#include "write_result.hpp"

namespace fennellane::fleet {

// The roles this relay may hold, as configured. A role's name is the name of its key in Consul.
struct Plan {
  std::vector<std::string> roles;
  lease::Timing timing;
  std::optional<SweepSettings> sweep;                       // if "sweep" is among the roles
  std::optional<RefreshSettings> refresh;                   // if "refresh" is among the roles
  std::optional<drain::SlotSettings> slot;                  // of the disruption budget
  std::optional<release::MoverSettings> mover;              // for staged releases; requires `slot`
  std::optional<release::CoordinatorSettings> coordinator;  // if "drain" is among the roles
  std::optional<ejection::ReporterSettings> reporter;       // of the ejection cap
  std::optional<ejection::ArbiterSettings> arbiter;         // if "ejection" is among the roles
  std::uint64_t seed = 0;
};
inline constexpr const char* kEjectionRole = "ejection";
inline constexpr const char* kSweepRole = "sweep";
inline constexpr const char* kRefreshRole = "refresh";
inline constexpr const char* kDrainRole = "drain";

// --- Inputs
struct AcquireRoles {};  // the relay is ready
struct ResignRoles {};   // the relay is about to stop: others then need not wait for a lapse
struct LeaseInput {
  std::uint32_t role = 0;
  lease::Input input;
};
struct RegistrationsRead {  // the answer to ReadRegistrations
  Token token = 0;          // of the request
  bool ok = false;          // false: no answer, or an unreadable one
  std::vector<Registration> registrations;
};
struct RegistrationsRemoved {  // the answer to RemoveRegistrations
  Token token = 0;
  using Result = lease::WriteResult;
  Result result{};
};
struct SweepTimerExpired {};  // the timer set by SetSweepTimer
struct RefreshRoleInput {
  RefreshInput input;
};
struct DrainInput {
  drain::Input input;
};
struct ReleaseStateInput {  // for the mover and the coordinator
  release::StateSeen input;
};
struct MoverInput {
  release::MoverInput input;
};
struct CoordinatorInput {
  release::CoordinatorInput input;
};
struct ReporterInput {
  ejection::ReporterInput input;
};
struct ArbiterInput {
  ejection::ArbiterInput input;
};
using Input = std::variant<AcquireRoles, ResignRoles, LeaseInput, RegistrationsRead, RegistrationsRemoved,
                           SweepTimerExpired, RefreshRoleInput, DrainInput, ReleaseStateInput, MoverInput,
                           CoordinatorInput, ReporterInput, ArbiterInput>;

// --- Effects
struct LeaseEffect {
  std::uint32_t role = 0;
  lease::Effect effect;
};
struct ReadRegistrations {
  Token token = 0;
};
// In one transaction with check-session on the role's key, so that a former holder removes nothing.
struct RemoveRegistrations {
  std::string session;
  Token token = 0;
  std::vector<Registration> registrations;
};
struct SetSweepTimer {  // replaces the previous timer
  Time at{};
};
struct SweepLogMessage {
  std::string text;
};
struct RefreshRoleEffect {  // all but StepDown, which is handled by the lease
  RefreshEffect effect;
};
struct DrainEffect {  // GoOffline only if not for a release, which the mover handles
  drain::Effect effect;
};
struct MoverEffect {  // Move, WriteReport, SetReportTimer
  release::MoverEffect effect;
};
struct CoordinatorEffect {
  release::CoordinatorEffect effect;
};
struct ReporterEffect {  // CapEndpoints is handled by the reducer
  ejection::ReporterEffect effect;
};
struct ArbiterEffect {
  ejection::ArbiterEffect effect;
};
using Effect = std::variant<LeaseEffect, ReadRegistrations, RemoveRegistrations, SetSweepTimer,
                            SweepLogMessage, RefreshRoleEffect, DrainEffect, MoverEffect, CoordinatorEffect,
                            ReporterEffect, ArbiterEffect>;

struct Counts {
  std::uint64_t acquired = 0, renews_missed = 0, lapsed = 0, lost = 0, given_up = 0;
  std::uint64_t swept = 0, sweeps_refused = 0;
  std::uint64_t lists_shared = 0, shares_refused = 0, lists_followed = 0;
  std::uint64_t reports = 0, verdicts = 0, verdicts_refused = 0, capped = 0;
};

class Fleet {
 public:
  explicit Fleet(const Plan& plan);

  std::vector<Effect> handle(Time now, const Input& input);

  // The sections of the snapshot in order: a snapshot can be restored only if both lists are equal.
  std::vector<std::string> snapshot_parts() const;
  const Counts& counts() const { return counts_; }
  bool follows_shared_list() const { return refresh_ && refresh_->follows_shared_list(); }
  const drain::Slot* slot() const { return slot_ ? &*slot_ : nullptr; }
  // Null without an ejection cap; otherwise the verdict in force, if any.
  const std::optional<ejection::Verdict>* cap() const { return reporter_ ? &reporter_->cap() : nullptr; }

  // For a process that takes over from another: the leases stay valid, and `resume` repeats the calls that
  // were in flight.
  template <class Archive>
  void serialize_state(Archive& archive);
  std::vector<Effect> resume(Time now);

 private:
  using Effects = std::vector<Effect>;
  void on(Time now, const AcquireRoles&, Effects& out);
  void on(Time now, const ResignRoles&, Effects& out);
  void on(Time now, const LeaseInput& event, Effects& out);
  void on(Time now, const RegistrationsRead& read, Effects& out);
  void on(Time now, const RegistrationsRemoved& removed, Effects& out);
  void on(Time now, const SweepTimerExpired&, Effects& out);
  void on(Time now, const RefreshRoleInput& event, Effects& out);
  void on(Time now, const DrainInput& event, Effects& out);
  void on(Time now, const ReleaseStateInput& event, Effects& out);
  void on(Time now, const MoverInput& event, Effects& out);
  void on(Time now, const CoordinatorInput& event, Effects& out);
  void on(Time now, const ReporterInput& event, Effects& out);
  void on(Time now, const ArbiterInput& event, Effects& out);
  void handle_refresh_effects(Time now, Refresh::Effects effects, Effects& out);
  void handle_slot_effects(Time now, std::vector<drain::Effect> effects, Effects& out);
  void handle_mover_effects(Time now, std::vector<release::MoverEffect> effects, Effects& out);
  void handle_coordinator_effects(Time now, std::vector<release::CoordinatorEffect> effects, Effects& out);
  void handle_arbiter_effects(Time now, std::vector<ejection::ArbiterEffect> effects, Effects& out);
  void handle_lease_input(Time now, std::uint32_t role, const lease::Input& input, Effects& out);
  void schedule_sweep(Time at, Effects& out);
  // The sweep's lease, if it may act with this token now; otherwise null.
  const lease::Lease* active_sweep_lease(Time now, Token token) const;

  std::vector<std::string> roles_;
  std::vector<lease::Lease> leases_;  // by role
  std::optional<std::uint32_t> sweep_role_;
  std::optional<Sweep> sweep_;
  std::optional<std::uint32_t> refresh_role_;
  std::optional<Refresh> refresh_;
  std::optional<drain::Slot> slot_;
  std::optional<release::Mover> mover_;
  std::optional<std::uint32_t> drain_role_;
  std::optional<release::Coordinator> coordinator_;
  std::optional<ejection::Reporter> reporter_;
  std::optional<std::uint32_t> ejection_role_;
  std::optional<ejection::Arbiter> arbiter_;
  bool sweep_call_in_flight_ = false;   // a read or a removal
  std::size_t removals_in_flight_ = 0;  // registrations in that transaction
  Counts counts_;
};

}  // namespace fennellane::fleet
