// Constructs a scheduler from its parts. The parts make the decisions; scheduler.cpp handles the events.
#include "scheduler/scheduler_impl.hpp"

#include <utility>

namespace mountflow {
namespace {

// Returns the settings with a mean task size that is above 0.
Settings WithUsableSizes(Settings settings) {
  if (!(settings.mean_cores > 0.0)) settings.mean_cores = Settings{}.mean_cores;
  return settings;
}

}  // namespace

Scheduler::Impl::Impl(const Settings& settings, std::uint64_t seed)
    : settings_(WithUsableSizes(settings)),
      weights_(settings_.classes),
      group_(settings_),
      slow_start_(settings_, group_),
      load_model_(settings_, weights_, group_),
      outlier_ejection_(settings_),
      admission_rules_(settings_, nodes_, slow_start_),
      attempt_rules_(settings_),
      ranking_({settings_, weights_, load_model_, outlier_ejection_, admission_rules_, own_tasks_}, seed) {}

ClusterState Scheduler::Impl::Cluster() const {
  return {nodes_.ready(), now_, list_at_, staleness_.ObservedAt(list_at_), start_rate_.value()};
}

Scheduler::Scheduler(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace mountflow
