// Planned outages of the relay: stops, upgrades and releases, each under a slot of the fleet's disruption
// budget.
#include <unistd.h>

#include <asio/post.hpp>
#include <csignal>
#include <fstream>

#include "names.hpp"
#include "relay.hpp"
#include "replace_file.hpp"
#include "run_file.hpp"

namespace fennellane {
namespace {

// Holds the session of the slot under which this process stopped, for the next process to release it.
constexpr const char* kSlotFile = "/slot";

}  // namespace

void Relay::execute(const drain::Effect& e) {
  if (const auto* message = std::get_if<drain::LogMessage>(&e); message && upgrade_pending_) {
    upgrade::write_run_file(state_folder_,
                            {::getpid(), 0, finished_upgrades_, true, "waits for a slot: " + message->text});
  }
  const auto* const go_offline = std::get_if<drain::GoOffline>(&e);
  if (!go_offline) return fleet_->execute(fleet::DrainEffect{e});
  if (go_offline->purpose == drain::Purpose::stop) {
    // Lets the next process release the slot; otherwise it stays acquired until it lapses.
    replace_file(state_folder_ + kSlotFile, state_folder_ + kSlotFile + ".new", go_offline->session + "\n");
    return stop();
  }
  planned_outage_ = PlannedOutage::upgrade;
  upgrade_pending_ = false;
  // Posted, so that the effects of this input are executed before the relay freezes.
  asio::post(io_, [this] { start_upgrade(""); });
}

void Relay::execute(const release::Move& e) {
  planned_outage_ = PlannedOutage::release;
  asio::post(io_, [this, build = e.build] { start_upgrade(config_.fleet->release->folder + "/" + build); });
}

void Relay::start_upgrade(const std::string& program) {
  if (!upgrade_ || upgrade_->busy() || stopping_) {
    return planned_outage_failed(stopping_ ? "the relay is stopping" : "another upgrade is under way");
  }
  reloaded_during_upgrade_ = false;
  upgrade_->request_upgrade(program);
}

// Cancels the planned outage; the relay keeps serving.
void Relay::planned_outage_failed(const std::string& reason) {
  const PlannedOutage outage = std::exchange(planned_outage_, PlannedOutage::none);
  if (outage == PlannedOutage::none) return;
  asio::post(io_, [this, outage, reason] {
    if (outage == PlannedOutage::release)
      return input(FleetInput{fleet::MoverInput{release::MoveFailed{reason}}});
    handle_drain_input(drain::OutageEnded{});
  });
}

void Relay::on_upgrade_requested() {
  const bool with_slot = config_.fleet && config_.fleet->drain && config_.fleet->drain->on_upgrade;
  if (upgrade_->busy() || !with_slot) {
    if (!upgrade_->busy()) reloaded_during_upgrade_ = false;
    return upgrade_->request_upgrade();
  }
  if (planned_outage_ != PlannedOutage::none || stop_pending_)
    return log_("upgrade", "another planned outage is under way or waits for a slot");
  upgrade_pending_ = true;
  log_("upgrade", "waits for a slot of the disruption budget");
  handle_drain_input(drain::Ask{drain::Purpose::upgrade});
}

// After the first SIGTERM the relay keeps serving until it has a slot; a second SIGTERM or a SIGINT stops it
// at once.
void Relay::on_stop_requested(int signal) {
  const bool with_slot = config_.fleet && config_.fleet->drain && config_.fleet->drain->on_sigterm;
  if (!with_slot || signal != SIGTERM || std::exchange(stop_pending_, true)) return stop();
  log_("", "stop requested: waits for a slot of the disruption budget; a second SIGTERM stops at once");
  planned_outage_ = PlannedOutage::none;  // a slot acquired for another outage covers the stop
  upgrade_pending_ = false;
  if (upgrade_) upgrade_->abort_upgrade("the relay is to stop");
  handle_drain_input(drain::Ask{drain::Purpose::stop});
}

void Relay::adopt_slot() {
  std::ifstream in(state_folder_ + kSlotFile);
  std::string session;
  if (!(in >> session) || !is_plain_name(session)) return;
  slot_adopted_ = true;
  log_("drain", "the previous process stopped with session " + session);
  handle_drain_input(drain::Adopt{session});
  if (ready_) release_slot();
}

void Relay::release_slot() {
  if (!std::exchange(slot_adopted_, false)) return;
  ::unlink((state_folder_ + kSlotFile).c_str());
  handle_drain_input(drain::OutageEnded{});
}

}  // namespace fennellane
