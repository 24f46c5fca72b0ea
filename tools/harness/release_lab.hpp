// A lab whose relays run build `a` of a folder of builds, the operators' orders, and what is looked at
// meanwhile.
#pragma once

#include <memory>
#include <string>

#include "fleet_lab.hpp"
#include "release_command.hpp"
#include "temporary_folder.hpp"

namespace fennellane::harness {

// A folder with the builds `a` and `b`, which are `program`, `sick`, which serves and whose partner is
// nowhere, and `broken`, which does not start. Gone with this object.
class Builds {
 public:
  explicit Builds(const std::string& program);

  std::string path(const std::string& build) const { return folder() + "/" + build; }
  const std::string& folder() const { return folder_.path(); }

 private:
  void script(const char* name, const std::string& text) const;
  const standin::TemporaryFolder folder_{"builds"};
};

struct ReleaseTiming {
  int report = 100, gather = 1500, watch = 600, watch_most = 6000;
};

class ReleaseLab {
 public:
  // `settings`: with a budget, and build `a` of `builds` as its program; the role and the release are added
  // here.
  ReleaseLab(const Builds& builds, LabSettings settings, const ReleaseTiming& timing);

  // Starts the relays, and waits for a coordinator; false: none comes.
  bool start();
  // Empty, or why it was refused.
  std::string order(ReleaseRequest::Action what, const std::string& to = "",
                    const std::vector<std::string>& steps = {});
  release::State state();
  // Offers one message to each relay in turn until the phase is there; false where it does not come in time.
  bool comes_to(release::Phase phase, std::chrono::seconds limit = std::chrono::seconds(90));
  std::size_t serving(const std::string& build) const;
  FleetLab& lab() { return lab_; }

 private:
  const Builds& builds_;
  FleetLab lab_;
};

}  // namespace fennellane::harness
