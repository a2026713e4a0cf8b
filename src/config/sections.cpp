#include "config/sections.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace mountflow::config {
namespace {

using nlohmann::json;

constexpr char kDefaultEtcdEndpoint[] = "127.0.0.1:2379";
constexpr double kBytesPerMebibyte = 1048576.0;
constexpr double kMillicoreMicrosecondsPerCoreHour = 3.6e12;

bool IsOnLoopback(const std::string& address) {
  return address.empty() || address.rfind("127.", 0) == 0 || address.rfind("localhost:", 0) == 0;
}

discovery::ConsulMode ConsulModeOf(const std::string& word) {
  if (word == "stale") return discovery::ConsulMode::kStale;
  if (word == "consistent") return discovery::ConsulMode::kConsistent;
  return discovery::ConsulMode::kDefault;
}

void DecodeEndpoints(const SectionReader& section, std::vector<std::string>* endpoints) {
  if (section.Has("address") && section.Has("addresses")) {
    section.AddError("", "address or addresses, not both");
  }
  if (section.Has("address")) *endpoints = {section.json()["address"].get<std::string>()};
  section.Read("addresses", endpoints);
}

ledger::PeriodKind PeriodKindOf(const std::string& word) {
  if (word == "day") return ledger::PeriodKind::kDay;
  if (word == "year") return ledger::PeriodKind::kYear;
  return ledger::PeriodKind::kMonth;
}

ledger::Price DecodePrice(const SectionReader& section) {
  ledger::Price price;
  section.Read("class", &price.task_class);
  section.Read("kind", &price.kind);
  section.ReadSeconds("from_s", &price.from);
  section.Read("core_hour", &price.core_hour);
  section.Read("gib_hour", &price.gib_hour);
  return price;
}

}  // namespace

ListenConfig DecodeListen(const SectionReader& section) {
  ListenConfig listen;
  section.Read("batch", &listen.batch_address);
  section.Read("http", &listen.http_address);
  section.Read("beyond_loopback", &listen.allow_beyond_loopback);
  const bool on_loopback = IsOnLoopback(listen.batch_address) && IsOnLoopback(listen.http_address);
  if (!listen.allow_beyond_loopback && !on_loopback) {
    section.AddError("", "loopback addresses, or \"beyond_loopback\": true");
  }
  return listen;
}

discovery::ClientOptions DecodeNodeList(const SectionReader& section) {
  discovery::ClientOptions options;
  if (section.json().value("kind", "consul") == "etcd") {
    options.kind = discovery::RegistryKind::kEtcd;
    options.endpoints = {kDefaultEtcdEndpoint};
  }
  DecodeEndpoints(section, &options.endpoints);
  section.Read("prefix", &options.prefix);
  section.Read("service", &options.service);
  if (!options.service.empty() && options.kind == discovery::RegistryKind::kEtcd) {
    section.AddError("/service", "kind consul");
  }
  section.Read("token", &options.token);
  section.Read("user", &options.user);
  section.Read("password", &options.password);
  options.mode = ConsulModeOf(section.json().value("mode", "default"));
  section.ReadSeconds("wait_s", &options.wait);
  section.ReadSeconds("most_stale_s", &options.max_staleness);
  section.ReadSeconds("least_pause_s", &options.min_interval);
  return options;
}

GroupConfig DecodeGroup(const SectionReader& section) {
  GroupConfig group;
  section.Read("from_registry", &group.from_registry);
  section.Read("prefix", &group.prefix);
  section.ReadSeconds("ttl_s", &group.entry_time_to_live);
  section.ReadSeconds("most_age_s", &group.max_view_age);
  return group;
}

void DecodeJobManagerLimits(const SectionReader& section, job_manager::JobManagerOptions* options) {
  section.Read("jobs", &options->limits.jobs);
  section.Read("script_bytes", &options->limits.script_bytes);
  section.Read("history", &options->limits.history);
  section.Read("nodes", &options->limits.nodes);
  section.Read("unsettled", &options->limits.stopping_attempts);
  section.ReadSeconds("history_s", &options->history_retention);
}

void DecodePbsServerLimits(const SectionReader& section, pbs_server::PbsServerOptions* options) {
  section.Read("one_script_bytes", &options->max_script_bytes);
  section.Read("unread_reply_bytes", &options->max_unread_reply_bytes);
}

void DecodeNodeSessionLimits(const SectionReader& section, node_sessions::NodeSessionOptions* options) {
  section.Read("connections_per_node", &options->max_connections);
  section.Read("waiting_per_node", &options->max_waiting);
}

admission::AdmissionOptions DecodeAdmission(const SectionReader& section) {
  admission::AdmissionOptions options;
  section.Read("share", &options.max_wait_share);
  section.ReadSeconds("most_wait_s", &options.max_wait);
  section.Read("most_line", &options.max_queue_length);
  section.ReadSeconds("slice_s", &options.iteration_budget);
  section.ReadSeconds("most_told_s", &options.max_retry_after);
  return options;
}

retry::RetryPolicy DecodeRetryPolicy(const SectionReader& section) {
  retry::RetryPolicy policy;
  section.Read("most", &policy.max_retries);
  section.ReadSeconds("first_wait_s", &policy.initial_backoff);
  section.ReadSeconds("most_wait_s", &policy.max_backoff);
  section.ReadSeconds("lost_wait_s", &policy.lost_task_backoff);
  section.Read("spread", &policy.jitter);
  return policy;
}

LogConfig DecodeLog(const SectionReader& section) {
  LogConfig log;
  section.Read("file", &log.file);
  section.Read("level", &log.level);
  return log;
}

StorageConfig DecodeStorage(const SectionReader& section) {
  StorageConfig storage;
  section.Read("folder", &storage.folder);
  if (section.Has("snapshot_mb")) {
    const double mebibytes = section.json()["snapshot_mb"].get<double>();
    storage.snapshot_after_bytes = static_cast<std::size_t>(mebibytes * kBytesPerMebibyte);
  }
  return storage;
}

ledger::BillingRules DecodeBilling(const SectionReader& section) {
  ledger::BillingRules rules;
  const auto time_zone = ledger::TimeZone::Parse(section.json().value("zone", "UTC0"));
  if (time_zone) {
    rules.time_zone = *time_zone;
  } else {
    section.AddError("/zone", time_zone.error().expected);
  }
  rules.period_kind = PeriodKindOf(section.json().value("period", "month"));
  section.ReadSeconds("grace_s", &rules.grace);
  section.Read("reopen", &rules.reopen);
  section.ReadSeconds("reopen_within_s", &rules.reopen_within);
  for (const SectionReader& price : section.Items("prices")) rules.prices.push_back(DecodePrice(price));
  const json budgets = section.json().value("budgets", json::object());
  for (const auto& [tenant, core_hours] : budgets.items()) {
    const double amount = core_hours.get<double>() * kMillicoreMicrosecondsPerCoreHour;
    rules.budgets[tenant] = static_cast<ledger::Amount>(amount);
  }
  section.Read("refuse_beyond", &rules.reject_over_budget);
  return rules;
}

}  // namespace mountflow::config
