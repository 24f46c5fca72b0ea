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

void Relay::carry(const drain::Effect& e) {
  if (const auto* said = std::get_if<drain::Say>(&e); said && upgrade_waits_) {
    upgrade::write_run_file(state_folder_,
                            {::getpid(), 0, upgrades_, true, "waits for a slot: " + said->text});
  }
  const auto* const go = std::get_if<drain::GoOut>(&e);
  if (!go) return fleet_->carry(fleet::DrainDo{e});
  if (go->purpose == drain::Purpose::stop) {
    // Guards against a slot that nobody gives back before it lapses.
    replace_file(state_folder_ + kSlotFile, state_folder_ + kSlotFile + ".new", go->session + "\n");
    return stop();
  }
  outing_ = Outing::upgrade;
  upgrade_waits_ = false;
  // In a turn of its own: the effects of this input are carried out before the relay stands still.
  asio::post(io_, [this] { start_upgrade(""); });
}

void Relay::carry(const release::Move& e) {
  outing_ = Outing::release;
  asio::post(io_, [this, build = e.build] { start_upgrade(config_.fleet->release->folder + "/" + build); });
}

void Relay::start_upgrade(const std::string& program) {
  if (!upgrade_ || upgrade_->busy() || stopping_) {
    return outing_failed(stopping_ ? "the relay is stopping" : "another upgrade is under way");
  }
  reloaded_ = false;
  upgrade_->ask(program);
}

// The relay serves on as it was.
void Relay::outing_failed(const std::string& why) {
  const Outing outing = std::exchange(outing_, Outing::none);
  if (outing == Outing::none) return;
  asio::post(io_, [this, outing, why] {
    if (outing == Outing::release) return input(FleetHeard{fleet::MoverHeard{release::MoveFailed{why}}});
    drain(drain::Back{});
  });
}

void Relay::upgrade_asked() {
  const bool with_slot = config_.fleet && config_.fleet->drain && config_.fleet->drain->on_upgrade;
  if (upgrade_->busy() || !with_slot) {
    if (!upgrade_->busy()) reloaded_ = false;
    return upgrade_->ask();
  }
  if (outing_ != Outing::none || stop_waits_)
    return log_("upgrade", "another outing is under way, or waits for a slot");
  upgrade_waits_ = true;
  log_("upgrade", "waits for a slot of the disruption budget");
  drain(drain::Ask{drain::Purpose::upgrade});
}

// The first SIGTERM waits for a slot, and the relay serves on meanwhile; a second one, or SIGINT, is obeyed
// at once.
void Relay::stop_asked(int signal) {
  const bool with_slot = config_.fleet && config_.fleet->drain && config_.fleet->drain->on_sigterm;
  if (!with_slot || signal != SIGTERM || std::exchange(stop_waits_, true)) return stop();
  log_("", "is to stop, and waits for a slot of the disruption budget; a second SIGTERM stops at once");
  outing_ = Outing::none;  // the slot of one that is under way serves for the stop
  upgrade_waits_ = false;
  if (upgrade_) upgrade_->call_off("the relay is to stop");
  drain(drain::Ask{drain::Purpose::stop});
}

void Relay::adopt_slot() {
  std::ifstream in(state_folder_ + kSlotFile);
  std::string session;
  if (!(in >> session) || !plain_name(session)) return;
  slot_adopted_ = true;
  log_("drain", "an earlier life went out with session " + session);
  drain(drain::Adopt{session});
  if (ready_) give_slot_back();
}

void Relay::give_slot_back() {
  if (!std::exchange(slot_adopted_, false)) return;
  ::unlink((state_folder_ + kSlotFile).c_str());
  drain(drain::Back{});
}

}  // namespace fennellane
