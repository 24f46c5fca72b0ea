// The command line of fennellane.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>

#include "config.hpp"
#include "relay.hpp"

namespace {

constexpr int kBadConfig = 2;

int serve(const std::string& config_path, const std::string& settings_path, const std::string& state) {
  try {
    const auto read = [&] { return fennellane::read_config(config_path, settings_path); };
    fennellane::Relay relay(read(), state, read);
    relay.run();
    return 0;
  } catch (const fennellane::ConfigError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kBadConfig;
  }
}

int check(const std::string& config_path, const std::string& settings_path) {
  try {
    const fennellane::Config config = fennellane::read_config(config_path, settings_path);
    const char* const source = config.source == fennellane::MembershipSource::consul ? "Consul"
                               : config.source == fennellane::MembershipSource::list ? "the settings"
                                                                                     : "the platform";
    std::printf("%s: %zu classes, hosts from %s, %zu known, %zu slots, %zu messages held at most\n",
                config.name.c_str(), config.boot.classes.size(), source, config.known.hosts.size(),
                config.boot.settings.slots, config.limits.held);
    return 0;
  } catch (const fennellane::ConfigError& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return kBadConfig;
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fennellane: takes messages over HTTP and delivers each to its destination"};
  app.require_subcommand(1);
  std::string config, settings, state;
  const auto add_config = [&config, &settings](CLI::App* command) {
    command->add_option("--config", config, "the platform's configuration, a JSON file")
        ->envname("GW_CONFIG");
    command
        ->add_option("--settings", settings,
                     "the operators' settings, S-expressions, over the configuration or without one")
        ->envname("GW_SETTINGS");
  };
  CLI::App* serve_command = app.add_subcommand("serve", "run the relay until SIGTERM");
  add_config(serve_command);
  serve_command->add_option("--state", state, "the folder that outlasts the process")
      ->envname("GW_STATE")
      ->required();
  CLI::App* check_command =
      app.add_subcommand("check-config", "read the configuration and say what it holds");
  add_config(check_command);
  CLI::App* version_command = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version_command->parsed()) {
      std::printf("fennellane %s\n", FENNELLANE_VERSION);
      return 0;
    }
    return check_command->parsed() ? check(config, settings) : serve(config, settings, state);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fennellane: %s\n", e.what());
    return 1;
  }
}
