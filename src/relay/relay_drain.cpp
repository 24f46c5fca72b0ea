// The relay's planned outages: stops, upgrades and releases, each with a slot of the fleet's disruption
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

// The session of the slot with which this life went out, for the next one to give back.
constexpr const char* kSlotFile = "/slot";

}  // namespace

void Relay::execute(const drain::Effect& e) {
  if (const auto* said = std::get_if<drain::LogMessage>(&e); said && upgrade_pending_) {
    upgrade::write_run_file(state_folder_,
                            {::getpid(), 0, finished_upgrades_, true, "waits for a slot: " + said->text});
  }
  const auto* const go = std::get_if<drain::GoOffline>(&e);
  if (!go) return fleet_->execute(fleet::DrainEffect{e});
  if (go->purpose == drain::Purpose::stop) {
    // Guards against a slot that nobody gives back before it lapses.
    replace_file(state_folder_ + kSlotFile, state_folder_ + kSlotFile + ".new", go->session + "\n");
    return stop();
  }
  planned_outage_ = PlannedOutage::upgrade;
  upgrade_pending_ = false;
  // In a turn of its own: the effects of this input are carried out before the relay stands still.
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

// The relay serves on as it was.
void Relay::planned_outage_failed(const std::string& why) {
  const PlannedOutage outing = std::exchange(planned_outage_, PlannedOutage::none);
  if (outing == PlannedOutage::none) return;
  asio::post(io_, [this, outing, why] {
    if (outing == PlannedOutage::release)
      return input(FleetInput{fleet::MoverInput{release::MoveFailed{why}}});
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
    return log_("upgrade", "another outing is under way, or waits for a slot");
  upgrade_pending_ = true;
  log_("upgrade", "waits for a slot of the disruption budget");
  handle_drain_input(drain::Ask{drain::Purpose::upgrade});
}

// The first SIGTERM waits for a slot, and the relay serves on meanwhile; a second one, or SIGINT, is obeyed
// at once.
void Relay::on_stop_requested(int signal) {
  const bool with_slot = config_.fleet && config_.fleet->drain && config_.fleet->drain->on_sigterm;
  if (!with_slot || signal != SIGTERM || std::exchange(stop_pending_, true)) return stop();
  log_("", "is to stop, and waits for a slot of the disruption budget; a second SIGTERM stops at once");
  planned_outage_ = PlannedOutage::none;  // the slot of one that is under way serves for the stop
  upgrade_pending_ = false;
  if (upgrade_) upgrade_->abort_upgrade("the relay is to stop");
  handle_drain_input(drain::Ask{drain::Purpose::stop});
}

void Relay::adopt_slot() {
  std::ifstream in(state_folder_ + kSlotFile);
  std::string session;
  if (!(in >> session) || !is_plain_name(session)) return;
  slot_adopted_ = true;
  log_("drain", "an earlier life went out with session " + session);
  handle_drain_input(drain::Adopt{session});
  if (ready_) release_slot();
}

void Relay::release_slot() {
  if (!std::exchange(slot_adopted_, false)) return;
  ::unlink((state_folder_ + kSlotFile).c_str());
  handle_drain_input(drain::OutageEnded{});
}

}  // namespace fennellane
