// What one relay does on behalf of the whole fleet, and when it may: a lease for each role it seeks, and the
// work of the roles that it holds. Decisions only, without input, output or clock; a part of the reducer's
// state. See docs/ownership.md.
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
#include "written.hpp"

namespace fennellane::fleet {

// The roles this relay may hold, as the settings have them. A role's name is its key's in Consul.
struct Plan {
  std::vector<std::string> roles;
  lease::Timing timing;
  std::optional<SweepSettings> sweep;                       // where "sweep" is among them
  std::optional<RefreshSettings> refresh;                   // where "refresh" is
  std::optional<drain::SlotSettings> slot;                  // of the disruption budget
  std::optional<release::MoverSettings> mover;              // with `slot`: staged releases
  std::optional<release::CoordinatorSettings> coordinator;  // where "drain" is among the roles
  std::optional<ejection::ReporterSettings> reporter;       // of the cap on endpoints out
  std::optional<ejection::ArbiterSettings> arbiter;         // where "ejection" is among the roles
  std::uint64_t seed = 0;
};
inline constexpr const char* kEjectionRole = "ejection";
inline constexpr const char* kSweepRole = "sweep";
inline constexpr const char* kRefreshRole = "refresh";
inline constexpr const char* kDrainRole = "drain";

// --- Inputs
struct Seek {};    // the relay is ready: its roles are sought
struct Resign {};  // it is to stop: they are given up, so that others need not wait for a lapse
struct LeaseHeard {
  std::uint32_t role = 0;
  lease::Input input;
};
struct RegistrationsRead {  // the answer to ReadRegistrations
  Token token = 0;          // as asked with
  bool good = false;        // false: there was none
  std::vector<Registration> all;
};
struct RegistrationsRemoved {  // the answer to RemoveRegistrations
  Token token = 0;
  using How = lease::Written;
  How how{};
};
struct WorkDue {};  // the timer that SetWorkTimer asked for
struct RefreshHeard {
  RefreshInput input;
};
struct DrainHeard {
  drain::Input input;
};
struct ReleaseSeen {  // by the mover and the coordinator
  release::StateSeen seen;
};
struct MoverHeard {
  release::MoverInput input;
};
struct CoordinatorHeard {
  release::CoordinatorInput input;
};
struct ReporterHeard {
  ejection::ReporterInput input;
};
struct ArbiterHeard {
  ejection::ArbiterInput input;
};
using Input =
    std::variant<Seek, Resign, LeaseHeard, RegistrationsRead, RegistrationsRemoved, WorkDue, RefreshHeard,
                 DrainHeard, ReleaseSeen, MoverHeard, CoordinatorHeard, ReporterHeard, ArbiterHeard>;

// --- Effects
struct LeaseDo {
  std::uint32_t role = 0;
  lease::Effect effect;
};
struct ReadRegistrations {
  Token token = 0;
};
// In one transaction with check-session on the role's key: an old holder removes nothing.
struct RemoveRegistrations {
  std::string session;
  Token token = 0;
  std::vector<Registration> which;
};
struct SetWorkTimer {  // replaces the one before
  Time at{};
};
struct Swept {  // for the log
  std::string text;
};
struct RefreshDo {  // of all but StepDown, which ends at the lease
  RefreshEffect effect;
};
struct DrainDo {  // GoOut of all but a release, which the mover takes up
  drain::Effect effect;
};
struct MoverDo {  // Move, WriteReport, SetReportTimer
  release::MoverEffect effect;
};
struct CoordinatorDo {
  release::CoordinatorEffect effect;
};
struct ReporterDo {  // CapEndpoints ends at the reducer
  ejection::ReporterEffect effect;
};
struct ArbiterDo {
  ejection::ArbiterEffect effect;
};
using Effect = std::variant<LeaseDo, ReadRegistrations, RemoveRegistrations, SetWorkTimer, Swept, RefreshDo,
                            DrainDo, MoverDo, CoordinatorDo, ReporterDo, ArbiterDo>;

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

  // What its memory holds, in order: another's can be taken up where both have the same.
  std::vector<std::string> parts() const;
  const Counts& counts() const { return counts_; }
  bool follows() const { return refresh_ && refresh_->follows(); }  // the shared list
  const drain::Slot* slot() const { return slot_ ? &*slot_ : nullptr; }
  // Null where there is no cap on endpoints out; else the one in force, if any.
  const std::optional<ejection::Verdict>* cap() const { return reporter_ ? &reporter_->cap() : nullptr; }

  // Of a process that takes over from another: the leases go on, what was under way is asked for again.
  template <class Archive>
  void remember(Archive& archive);
  std::vector<Effect> resume(Time now);

 private:
  using Effects = std::vector<Effect>;
  void on(Time now, const Seek&, Effects& out);
  void on(Time now, const Resign&, Effects& out);
  void on(Time now, const LeaseHeard& heard, Effects& out);
  void on(Time now, const RegistrationsRead& read, Effects& out);
  void on(Time now, const RegistrationsRemoved& removed, Effects& out);
  void on(Time now, const WorkDue&, Effects& out);
  void on(Time now, const RefreshHeard& heard, Effects& out);
  void on(Time now, const DrainHeard& heard, Effects& out);
  void on(Time now, const ReleaseSeen& seen, Effects& out);
  void on(Time now, const MoverHeard& heard, Effects& out);
  void on(Time now, const CoordinatorHeard& heard, Effects& out);
  void on(Time now, const ReporterHeard& heard, Effects& out);
  void on(Time now, const ArbiterHeard& heard, Effects& out);
  void refresh(Time now, Refresh::Effects effects, Effects& out);
  void slot(Time now, std::vector<drain::Effect> effects, Effects& out);
  void mover(Time now, std::vector<release::MoverEffect> effects, Effects& out);
  void coordinator(Time now, std::vector<release::CoordinatorEffect> effects, Effects& out);
  void arbiter(Time now, std::vector<ejection::ArbiterEffect> effects, Effects& out);
  void tell(Time now, std::uint32_t role, const lease::Input& input, Effects& out);
  void work_later(Time at, Effects& out);
  // The sweep's lease, where it may act with this token now.
  const lease::Lease* sweeping(Time now, Token token) const;

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
  bool working_ = false;      // a call of the sweep's is out
  std::size_t removing_ = 0;  // registrations, in the transaction that is out
  Counts counts_;
};

}  // namespace fennellane::fleet
