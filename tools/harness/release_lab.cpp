#include "release_lab.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config.hpp"
#include "fleet_values.hpp"

namespace fennellane::harness {

namespace fs = std::filesystem;

Builds::Builds(const std::string& program) {
  const std::string whole = fs::absolute(program).string();
  fs::create_symlink(whole, path("a"));
  fs::create_symlink(whole, path("b"));
  // Port 1 refuses.
  script("sick",
         "sed 's/(id \"p\") (address \"[^\"]*\")/(id \"p\") (address \"127.0.0.1:1\")/' \"$GW_SETTINGS\" "
         "> \"$GW_SETTINGS.sick\"\nexport GW_SETTINGS=\"$GW_SETTINGS.sick\"\nexec -a \"$0\" " +
             whole + " \"$@\"\n");
  script("broken", "exit 3\n");
}

void Builds::script(const char* name, const std::string& text) const {
  std::ofstream(path(name)) << "#!/bin/bash\n" << text;
  fs::permissions(path(name), fs::perms::owner_all);
}

namespace {

LabSettings with_release(LabSettings settings, const Builds& builds, const ReleaseTiming& t) {
  const auto ms = [](const char* name, int value) {
    return std::string("(") + name + "-ms " + std::to_string(value) + ") ";
  };
  settings.program = builds.path("a");
  settings.role = "drain";
  settings.drain += "(release (folder \"" + builds.folder() + "\") " + ms("report", t.report) +
                    ms("gather", t.gather) + ms("watch", t.watch) + ms("watch-most", t.watch_most) +
                    "(move-ms 60000) (silent-ms 20000) (least-ends 10)) ";
  settings.time_left_ms = 1000;
  return settings;
}

}  // namespace

ReleaseLab::ReleaseLab(const Builds& builds, LabSettings settings, const ReleaseTiming& timing)
    : builds_(builds), lab_(with_release(std::move(settings), builds, timing)) {}

bool ReleaseLab::start() {
  lab_.start();
  return lab_.waits_for_holder_other_than(lab_.size(), std::chrono::seconds(60));
}

std::string ReleaseLab::order(ReleaseRequest::Action what, const std::string& to,
                              const std::vector<std::string>& steps) {
  const Config config = read_config("", lab_.relay(0).folder() + "/settings.sexp");
  ReleaseRequest wanted;
  wanted.action = what;
  wanted.from = "a";
  wanted.to = to;
  wanted.steps = steps.empty() ? std::vector<std::string>{"1", "50%", "100%"} : steps;
  std::ostringstream out;
  std::string trouble;
  run_release_command(*config.consul, *config.fleet, config.limits, wanted, out, trouble);
  return trouble;
}

release::State ReleaseLab::state() {
  const standin::StoreAnswer answer =
      lab_.consul().ask({"GET", "/v1/kv/lab/release/state", {{"raw", ""}}, ""});
  return read_state(answer.body).value_or(release::State{});
}

bool ReleaseLab::comes_to(release::Phase phase, std::chrono::seconds limit) {
  std::size_t next = 0;
  return standin::happens(
      [&] {
        lab_.offer_to(next++ % lab_.size());
        return state().phase == phase;
      },
      limit);
}

std::size_t ReleaseLab::serving(const std::string& build) const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < lab_.size(); ++i) {
    std::ifstream in("/proc/" + std::to_string(lab_.serving(i)) + "/cmdline");
    std::string program;
    std::getline(in, program, '\0');
    n += program == builds_.path(build) ? 1 : 0;
  }
  return n;
}

}  // namespace fennellane::harness
