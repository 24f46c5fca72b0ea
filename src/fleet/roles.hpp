// What one relay does on behalf of the whole fleet, and when it may: a lease for each role it seeks, and the
// work of the roles that it holds. Decisions only, without input, output or clock; a part of the reducer's
// state. See docs/ownership.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lease.hpp"
#include "refresh.hpp"
#include "sweep.hpp"
#include "written.hpp"

namespace fennellane::fleet {

// The roles this relay may hold, as the settings have them. A role's name is its key's in Consul.
struct Plan {
  std::vector<std::string> roles;
  lease::Timing timing;
  std::optional<SweepSettings> sweep;      // where "sweep" is among them
  std::optional<RefreshSettings> refresh;  // where "refresh" is
  std::uint64_t seed = 0;
};
inline constexpr const char* kSweepRole = "sweep";
inline constexpr const char* kRefreshRole = "refresh";

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
  using How = Written;
  How how{};
};
struct WorkDue {};  // the timer that SetWorkTimer asked for
struct RefreshHeard {
  RefreshInput input;
};
using Input =
    std::variant<Seek, Resign, LeaseHeard, RegistrationsRead, RegistrationsRemoved, WorkDue, RefreshHeard>;

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
using Effect = std::variant<LeaseDo, ReadRegistrations, RemoveRegistrations, SetWorkTimer, Swept, RefreshDo>;

struct Counts {
  std::uint64_t acquired = 0, renews_missed = 0, lapsed = 0, lost = 0, given_up = 0;
  std::uint64_t swept = 0, sweeps_refused = 0;
  std::uint64_t lists_shared = 0, shares_refused = 0, lists_followed = 0;
};

class Fleet {
 public:
  explicit Fleet(const Plan& plan);

  std::vector<Effect> handle(Time now, const Input& input);

  const std::vector<std::string>& roles() const { return roles_; }
  const Counts& counts() const { return counts_; }
  bool follows() const { return refresh_ && refresh_->follows(); }  // the shared list

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
  void refresh(Time now, Refresh::Effects effects, Effects& out);
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
  bool working_ = false;      // a call of the sweep's is out
  std::size_t removing_ = 0;  // registrations, in the transaction that is out
  Counts counts_;
};

}  // namespace fennellane::fleet
