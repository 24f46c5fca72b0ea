#include "instances.hpp"

#include <exception>

namespace wire {
namespace {

starlinghook::LoadReport load_report(const EventRecord& record, const InstanceSettings& config) {
  starlinghook::LoadReport report;
  if (record.stat_count == 0 || !config.settings.reports_allowance) return report;
  if (config.allowance_field >= record.stat_count || config.limit_field >= record.stat_count) return report;
  report.present = true;
  report.allowance_left = record.stats[static_cast<std::size_t>(config.allowance_field)];
  report.limit = record.stats[static_cast<std::size_t>(config.limit_field)];
  return report;
}

}  // namespace

bool Instances::to_event(const EventRecord& r, const InstanceSettings& config,
                         starlinghook::Event& event) const {
  switch (r.code) {
    case EventCode::order:
      if (r.arrival.message_class >= config.settings.classes.size())
        throw InputError("message has an unknown class");
      event = r.arrival;
      return true;
    case EventCode::dropped:
      event = starlinghook::MessageDropped{r.message};
      return true;
    case EventCode::ended: {
      starlinghook::AttemptEnded ended = r.ended;
      ended.report = load_report(r, config);
      event = ended;
      return true;
    }
    case EventCode::health_result:
      event = starlinghook::ProbeEnded{r.ended.endpoint, r.ended.outcome, r.ended.retry_after,
                                       load_report(r, config)};
      return true;
    case EventCode::roster_change:
      if (r.form == RosterForm::failed) {
        event = starlinghook::ListFailed{};
      } else {
        starlinghook::ListChanged change{r.form != RosterForm::delta, r.form == RosterForm::cached,
                                         lists_[r.list_number]};
        if (!config.rates_listed) {
          for (starlinghook::EndpointEntry& entry : change.entries) entry.rate = 0;
        }
        event = std::move(change);
      }
      return true;
    case EventCode::wake:
      event = starlinghook::TimerExpired{r.label};
      return true;
    case EventCode::inbox:   // the library neither sends nor uses notes
    case EventCode::opened:  // the answer goes to the client without a decision of the library
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
      InstanceSettings config = parse_instance_settings(r.text, r.salt);
      starlinghook::Forwarder forwarder(config.settings);
      auto instance = std::make_unique<Instance>(Instance{std::move(config), std::move(forwarder)});
      instance->forwarder.start(clock, actions_);
      instances_[r.instance] = std::move(instance);
    } else {
      auto found = instances_.find(r.instance);
      if (found == instances_.end()) throw InputError("event for an instance that is not running");
      starlinghook::Event event;
      if (to_event(r, found->second->config, event)) found->second->forwarder.handle(clock, event, actions_);
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
