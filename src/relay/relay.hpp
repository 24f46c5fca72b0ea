// The relay: everything on one thread and one loop. It brings the reducer its inputs and carries out the
// effects in their order.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cluster_source.hpp"
#include "config.hpp"
#include "consul_source.hpp"
#include "counters.hpp"
#include "discovery.hpp"
#include "downstream.hpp"
#include "journal.hpp"
#include "log.hpp"
#include "notices.hpp"
#include "reducer.hpp"
#include "upstream.hpp"

namespace fennellane {

class Relay {
 public:
  // `reread` gives the configuration as it stands now; throws ConfigError.
  Relay(Config config, const std::string& state_folder,
        std::function<Config()> reread);  // throws ConfigError, JournalError

  void run();  // until SIGTERM or SIGINT, and a while after it

 private:
  void input(const Input& input);
  void carry(RecordTaken& e);
  void carry(RecordAttempt& e);
  void carry(RecordOutcome& e);
  void carry(RecordGivenUp& e);
  void carry(RecordEnded& e);
  void carry(Answer& e);
  void carry(StartCall& e);
  void carry(CancelCall& e);
  void carry(HoldBack& e);
  void carry(CloseIdle& e);
  void carry(RetireHost& e);
  void carry(PostNotice& e);
  void carry(SetTimer& e);
  void carry(Say& e);

  void restore();
  void await_signal();
  void stop();
  void reload();
  // Where the list comes from now; the list that stands does so until the new source has one.
  void take_source(const Config& wanted);
  void take_list(HostList list, bool cached);
  void set_ready();
  void print_counters();

  const Config config_;
  const std::function<Config()> reread_;
  const std::string state_folder_;
  Address discovery_address_;  // as last reread
  asio::io_context io_;
  Log log_;
  Counters counters_;
  const FileDescriptor lock_;  // on the state folder
  Journal journal_;
  Reducer reducer_;
  Upstream upstream_;
  Notices notices_;
  std::shared_ptr<Discovery> discovery_;  // at most one of these two is there
  std::shared_ptr<ConsulSource> consul_;
  Downstream downstream_;
  asio::steady_timer timer_;  // the module's
  asio::steady_timer stop_timer_;
  asio::signal_set signals_;
  bool ready_ = false;
  bool stopping_ = false;
};

}  // namespace fennellane
