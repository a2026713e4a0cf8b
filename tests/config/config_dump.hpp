// Lists every field of a daemon's configuration as text, for the test that compares configurations field by
// field.
#ifndef MOUNTFLOW_TESTS_CONFIG_CONFIG_DUMP_HPP_
#define MOUNTFLOW_TESTS_CONFIG_CONFIG_DUMP_HPP_

#include <cstdio>
#include <map>
#include <string>
#include <type_traits>
#include <vector>

#include "config/config.hpp"

namespace mountflow::testing {

// Maps field names to values. The names are those of the recorded file and stay the same when a field is
// renamed in the code.
class FieldDump {
 public:
  void Add(const std::string& name, const std::string& value) { fields_[name] = value; }
  template <typename T>
  void Add(const std::string& name, T value) {
    if constexpr (std::is_enum_v<T>) {
      fields_[name] = std::to_string(static_cast<int>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
      char text[40];
      std::snprintf(text, sizeof text, "%.17g", static_cast<double>(value));
      fields_[name] = text;
    } else {
      fields_[name] = std::to_string(value);
    }
  }
  template <typename List>
  void AddList(const std::string& name, const List& values) {
    Add(name + ".count", values.size());
    std::size_t index = 0;
    for (const auto& value : values) Add(name + "." + std::to_string(index++), value);
  }
  const std::map<std::string, std::string>& fields() const { return fields_; }

 private:
  std::map<std::string, std::string> fields_;
};

inline void DumpTaskClass(const TaskClass& task_class, const std::string& at, FieldDump* dump) {
  dump->Add(at + "idempotency", task_class.idempotency);
  dump->Add(at + "deduplication_scope", task_class.deduplication_scope);
  dump->Add(at + "deduplication_window", task_class.deduplication_window);
  dump->Add(at + "start_target", task_class.start_target);
  dump->Add(at + "value_per_second", task_class.value_per_second);
  dump->Add(at + "start_value_seconds", task_class.start_value_seconds);
  dump->Add(at + "late_value", task_class.late_value);
  dump->Add(at + "topology_spread", task_class.topology_spread);
  dump->Add(at + "max_per_domain", task_class.max_per_domain);
  dump->Add(at + "node_kind", task_class.node_kind);
  dump->Add(at + "priority", task_class.priority);
  dump->Add(at + "full_service_utilisation", task_class.full_service_utilisation);
}

inline void DumpSettings(const Settings& settings, FieldDump* dump) {
  const std::string at = "settings.";
  dump->Add(at + "classes.count", settings.classes.size());
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    DumpTaskClass(settings.classes[i], at + "classes." + std::to_string(i) + ".", dump);
  }
  dump->Add(at + "node_kinds.count", settings.node_kinds.size());
  for (std::size_t i = 0; i < settings.node_kinds.size(); ++i) {
    dump->Add(at + "node_kinds." + std::to_string(i) + ".cores", settings.node_kinds[i].cores);
    dump->Add(at + "node_kinds." + std::to_string(i) + ".memory", settings.node_kinds[i].memory);
  }
  dump->Add(at + "group_size", settings.group_size);
  dump->Add(at + "self_index", settings.self_index);
  dump->Add(at + "own_zone", settings.own_zone);
  dump->Add(at + "list_on_request", settings.list_on_request);
  dump->Add(at + "list_has_free_capacity", settings.list_has_free_capacity);
  dump->Add(at + "started_means_running", settings.started_means_running);
  dump->Add(at + "reports_requested_capacity", settings.reports_requested_capacity);
  dump->Add(at + "may_check_health", settings.may_check_health);
  dump->Add(at + "may_cancel", settings.may_cancel);
  dump->Add(at + "may_duplicate_attempts", settings.may_duplicate_attempts);
  dump->Add(at + "nodes_preempt", settings.nodes_preempt);
  dump->Add(at + "max_attempts", settings.max_attempts);
  dump->Add(at + "mean_cores", settings.mean_cores);
  dump->Add(at + "mean_memory", settings.mean_memory);
  dump->Add(at + "overcommit_cores", settings.overcommit_cores);
  dump->Add(at + "overcommit_memory", settings.overcommit_memory);
  dump->Add(at + "client_wait", settings.client_wait);
  dump->Add(at + "answer_slack", settings.answer_slack);
  dump->Add(at + "ask_within", settings.ask_within);
  dump->Add(at + "drain_grace_period", settings.drain_grace_period);
  dump->Add(at + "slow_start_initial_pace", settings.slow_start_initial_pace);
  dump->Add(at + "slow_start_duration", settings.slow_start_duration);
  dump->Add(at + "overload_multiple", settings.overload_multiple);
  dump->Add(at + "slow_start_window", settings.slow_start_window);
  dump->Add(at + "slow_start_budget", settings.slow_start_budget);
  dump->Add(at + "rejection_price", settings.rejection_price);
  dump->Add(at + "cross_zone_price", settings.cross_zone_price);
  dump->Add(at + "migration_price", settings.migration_price);
  dump->Add(at + "eviction_weight", settings.eviction_weight);
  dump->Add(at + "health_check_price", settings.health_check_price);
}

inline void DumpJobManager(const job_manager::JobManagerOptions& options, FieldDump* dump) {
  const std::string at = "job_manager.";
  dump->Add(at + "server", options.server);
  DumpSettings(options.settings, dump);
  dump->AddList(at + "classes", options.classes);
  dump->AddList(at + "tenants", options.tenants);
  dump->AddList(at + "kinds", options.kinds);
  dump->AddList(at + "zones", options.zones);
  dump->AddList(at + "hard_limits", options.hard_limits);
  dump->Add(at + "repeats.max_retries", options.retry_policy.max_retries);
  dump->Add(at + "repeats.initial_backoff", options.retry_policy.initial_backoff);
  dump->Add(at + "repeats.max_backoff", options.retry_policy.max_backoff);
  dump->Add(at + "repeats.lost_task_backoff", options.retry_policy.lost_task_backoff);
  dump->Add(at + "repeats.jitter", options.retry_policy.jitter);
  dump->Add(at + "repeats.reconciliation_wait", options.retry_policy.reconciliation_wait);
  dump->Add(at + "limits.jobs", options.limits.jobs);
  dump->Add(at + "limits.script_bytes", options.limits.script_bytes);
  dump->Add(at + "limits.history", options.limits.history);
  dump->Add(at + "limits.nodes", options.limits.nodes);
  dump->Add(at + "limits.reconciliations", options.limits.reconciliations);
  dump->Add(at + "limits.stopping_attempts", options.limits.stopping_attempts);
  dump->Add(at + "stop_retry_delay", options.stop_retry_delay);
  dump->Add(at + "reconcile_retry_delay", options.reconcile_retry_delay);
  dump->Add(at + "history_retention", options.history_retention);
  dump->Add(at + "durable", options.durable);
  dump->Add(at + "key_search_interval", options.key_search_interval);
}

inline void DumpPbsServer(const pbs_server::PbsServerOptions& options, FieldDump* dump) {
  const std::string at = "pbs_server.";
  dump->AddList(at + "vocabulary.queues", options.vocabulary.queues);
  dump->AddList(at + "vocabulary.tenants", options.vocabulary.tenants);
  dump->Add(at + "vocabulary.default_queue", options.vocabulary.default_queue);
  dump->Add(at + "vocabulary.memory_unit", options.vocabulary.memory_unit);
  dump->Add(at + "vocabulary.max_cores", options.vocabulary.max_cores);
  dump->Add(at + "vocabulary.max_memory", options.vocabulary.max_memory);
  dump->Add(at + "max_script_bytes", options.max_script_bytes);
  dump->Add(at + "max_unread_reply_bytes", options.max_unread_reply_bytes);
  dump->AddList(at + "managers", options.managers);
  dump->Add(at + "max_wait", options.max_wait);
}

inline void DumpAdmission(const admission::AdmissionOptions& options, FieldDump* dump) {
  dump->Add("admission.max_wait_share", options.max_wait_share);
  dump->Add("admission.max_wait", options.max_wait);
  dump->Add("admission.max_queue_length", options.max_queue_length);
  dump->Add("admission.iteration_budget", options.iteration_budget);
  dump->Add("admission.initial_cost_per_job", options.initial_cost_per_job);
  dump->Add("admission.max_retry_after", options.max_retry_after);
}

inline void DumpNodeSessions(const node_sessions::NodeSessionOptions& options, FieldDump* dump) {
  dump->Add("node_sessions.user", options.user);
  dump->Add("node_sessions.report_to", options.report_to);
  dump->Add("node_sessions.max_connections", options.max_connections);
  dump->Add("node_sessions.max_idle", options.max_idle);
  dump->Add("node_sessions.max_waiting", options.max_waiting);
  dump->Add("node_sessions.max_controls", options.max_controls);
  dump->Add("node_sessions.connect_timeout", options.connect_timeout);
  dump->Add("node_sessions.control_timeout", options.control_timeout);
}

inline void DumpNodeList(const discovery::ClientOptions& options, FieldDump* dump) {
  const std::string at = "node_list.";
  dump->Add(at + "kind", options.kind);
  dump->AddList(at + "endpoints", options.endpoints);
  dump->Add(at + "prefix", options.prefix);
  dump->Add(at + "service", options.service);
  dump->Add(at + "token", options.token);
  dump->Add(at + "user", options.user);
  dump->Add(at + "password", options.password);
  dump->Add(at + "mode", options.mode);
  dump->Add(at + "max_staleness", options.max_staleness);
  dump->Add(at + "wait", options.wait);
  dump->Add(at + "min_interval", options.min_interval);
  dump->Add(at + "page", options.page);
  dump->Add(at + "max_keys", options.max_keys);
  dump->Add(at + "max_reply_bytes", options.max_reply_bytes);
  dump->Add(at + "max_message_bytes", options.max_message_bytes);
}

inline void DumpTls(const tls::Options& options, const std::string& at, FieldDump* dump) {
  dump->Add(at + ".ca", options.ca);
  dump->Add(at + ".certificate", options.certificate);
  dump->Add(at + ".key", options.key);
  dump->Add(at + ".name", options.name);
}

inline void DumpBilling(const ledger::BillingRules& rules, FieldDump* dump) {
  const std::string at = "billing.";
  constexpr std::int64_t kWinter2026 = 1'768'000'000, kSummer2026 = 1'784'000'000;  // seconds since 1970
  dump->Add(at + "zone.winter_offset", rules.time_zone.OffsetAt(kWinter2026));
  dump->Add(at + "zone.summer_offset", rules.time_zone.OffsetAt(kSummer2026));
  dump->Add(at + "period_kind", rules.period_kind);
  dump->Add(at + "grace", rules.grace);
  dump->Add(at + "reopen", rules.reopen);
  dump->Add(at + "reopen_within", rules.reopen_within);
  dump->Add(at + "prices.count", rules.prices.size());
  for (std::size_t i = 0; i < rules.prices.size(); ++i) {
    const std::string price = at + "prices." + std::to_string(i) + ".";
    dump->Add(price + "class", rules.prices[i].task_class);
    dump->Add(price + "kind", rules.prices[i].kind);
    dump->Add(price + "from", rules.prices[i].from);
    dump->Add(price + "core_hour", rules.prices[i].core_hour);
    dump->Add(price + "gib_hour", rules.prices[i].gib_hour);
  }
  dump->Add(at + "budgets.count", rules.budgets.size());
  for (const auto& [tenant, budget] : rules.budgets) {
    dump->Add(at + "budgets." + tenant, ledger::ToText(budget));
  }
  dump->Add(at + "reject_over_budget", rules.reject_over_budget);
  dump->Add(at + "max_attempts", rules.max_attempts);
  dump->Add(at + "max_postings", rules.max_postings);
}

inline std::map<std::string, std::string> DumpConfig(const config::DaemonConfig& config) {
  FieldDump dump;
  DumpJobManager(config.job_manager, &dump);
  DumpPbsServer(config.pbs_server, &dump);
  DumpAdmission(config.admission, &dump);
  DumpNodeSessions(config.node_sessions, &dump);
  DumpNodeList(config.node_list, &dump);
  DumpTls(config.node_list_tls, "node_list.tls", &dump);
  dump.Add("node_list.snapshot", config.node_list_snapshot_file);
  dump.Add("listen.batch", config.listen.batch_address);
  dump.Add("listen.http", config.listen.http_address);
  dump.Add("listen.beyond_loopback", config.listen.allow_beyond_loopback);
  dump.Add("group.from_registry", config.group.from_registry);
  dump.Add("group.prefix", config.group.prefix);
  dump.Add("group.ttl", config.group.entry_time_to_live);
  dump.Add("group.most_age", config.group.max_view_age);
  dump.Add("billing", config.billing.enabled);
  DumpBilling(config.billing.rules, &dump);
  dump.Add("storage.folder", config.storage.folder);
  dump.Add("storage.snapshot", config.storage.snapshot_after_bytes);
  dump.Add("log.file", config.log.file);
  dump.Add("log.level", config.log.level);
  dump.Add("stop_grace", config.shutdown_timeout);
  dump.Add("seed", config.seed);
  return dump.fields();
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_CONFIG_CONFIG_DUMP_HPP_
