#include "instances.hpp"

#include <exception>

namespace wire {
namespace {

starlinghook::LoadReport load_report(const EventRecord& r, const InstanceSettings& boot) {
  starlinghook::LoadReport report;
  if (r.stat_count == 0 || !boot.settings.reports_allowance) return report;
  if (boot.allowance_field >= r.stat_count || boot.limit_field >= r.stat_count) return report;
  report.present = true;
  report.allowance_left = r.stats[static_cast<std::size_t>(boot.allowance_field)];
  report.limit = r.stats[static_cast<std::size_t>(boot.limit_field)];
  return report;
}

}  // namespace

bool Instances::to_event(const EventRecord& r, const InstanceSettings& boot,
                         starlinghook::Event& event) const {
  switch (r.code) {
    case EventCode::order:
      if (r.arrival.message_class >= boot.settings.classes.size())
        throw InputError("a message of an unknown class");
      event = r.arrival;
      return true;
    case EventCode::dropped:
      event = starlinghook::MessageDropped{r.message};
      return true;
    case EventCode::ended: {
      starlinghook::AttemptEnded ended = r.ended;
      ended.report = load_report(r, boot);
      event = ended;
      return true;
    }
    case EventCode::health_result:
      event = starlinghook::ProbeEnded{r.ended.endpoint, r.ended.outcome, r.ended.retry_after,
                                       load_report(r, boot)};
      return true;
    case EventCode::roster_change:
      if (r.form == RosterForm::failed) {
        event = starlinghook::ListFailed{};
      } else {
        starlinghook::ListChanged change{r.form != RosterForm::delta, r.form == RosterForm::cached,
                                         lists_[r.list_number]};
        if (!boot.rates_listed) {
          for (starlinghook::EndpointEntry& entry : change.entries) entry.rate = 0;
        }
        event = std::move(change);
      }
      return true;
    case EventCode::wake:
      event = starlinghook::TimerExpired{r.label};
      return true;
    case EventCode::inbox:   // the module sends no notes and heeds none
    case EventCode::opened:  // the answer goes to the client by itself; nothing is decided on it
    case EventCode::list:
    case EventCode::kill:
    case EventCode::new_instance:
      break;
  }
  return false;
}

void Instances::handle_event(starlinghook::Time clock, const EventRecord& r) {
  if (r.code == EventCode::list) {
    lists_[r.list_number] = r.entries;
    return;
  }
  if (r.code == EventCode::kill) {
    instances_.erase(r.instance);
    return;
  }
  actions_.clear();
  try {
    if (r.code == EventCode::new_instance) {
      InstanceSettings boot = parse_instance_settings(r.text, r.salt);
      starlinghook::Forwarder forwarder(boot.settings);
      auto instance = std::make_unique<Instance>(Instance{std::move(boot), std::move(forwarder)});
      instance->forwarder.start(clock, actions_);
      instances_[r.instance] = std::move(instance);
    } else {
      auto found = instances_.find(r.instance);
      if (found == instances_.end()) throw InputError("an event for an instance that is not running");
      starlinghook::Event event;
      if (to_event(r, found->second->boot, event)) found->second->forwarder.handle(clock, event, actions_);
    }
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& e) {
    actions_.clear();
    reply_.panic(r.instance, e.what());
  }
  for (const starlinghook::Action& action : actions_) reply_.add(r.instance, action);
}

std::string Instances::process_frame(std::string_view frame) {
  Batch batch = decode_batch(frame);
  for (const EventRecord& record : batch.events) handle_event(batch.clock, record);
  return reply_.finish();
}

}  // namespace wire
