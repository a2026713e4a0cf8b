#include "settings/settings.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <utility>

namespace mountflow::settings {
namespace {

using KeyValues = std::map<std::string, std::string, std::less<>>;

// Reads the value of a key into `*target`.
template <typename Target>
using ReadFunction = Status (*)(const Setting& setting, Target* target);

// A key of the settings text and the function that reads its value.
template <typename Target>
struct Row {
  std::string_view key;
  ReadFunction<Target> read;
};

// ---- Reading values ----

Result<double> Parse(const Setting& setting, const double&) { return ParseNumber(setting); }
Result<Micros> Parse(const Setting& setting, const Micros&) { return ParseTime(setting); }
Result<int> Parse(const Setting& setting, const int&) { return ParseInteger(setting); }
Result<unsigned> Parse(const Setting& setting, const unsigned&) { return ParseCount(setting); }
Result<bool> Parse(const Setting& setting, const bool&) { return ParseFlag(setting); }
Result<std::vector<std::string>> Parse(const Setting& setting, const std::vector<std::string>&) {
  return ParseList(setting);
}

template <typename T>
Status Assign(Result<T> value, T* to) {
  if (!value) return tl::make_unexpected(std::move(value.error()));
  *to = std::move(*value);
  return {};
}

// Reads a value into `member` of the target; the type of the member determines how the value is parsed.
template <auto member, typename Target>
Status ReadMember(const Setting& setting, Target* target) {
  return Assign(Parse(setting, target->*member), &(target->*member));
}

// Reads a value into `member` of the scheduler's settings.
template <auto member>
Status ReadSettingsMember(const Setting& setting, WireSettings* result) {
  return ReadMember<member>(setting, &result->settings);
}

// Reads one of the words of `choices` and stores its meaning in `member` of the scheduler's settings.
template <auto member, const auto& choices>
Status ReadSettingsChoice(const Setting& setting, WireSettings* result) {
  return Assign(ParseChoice(setting, choices), &(result->settings.*member));
}

// Reads one of the words of `choices` and stores its meaning in `member` of a class.
template <auto member, const auto& choices>
Status ReadClassChoice(const Setting& setting, TaskClass* task_class) {
  return Assign(ParseChoice(setting, choices), &(task_class->*member));
}

Status ReadClassCount(const Setting& setting, WireSettings* result) {
  const Result<std::size_t> count = ParseListSize(setting);
  if (!count) return tl::make_unexpected(count.error());
  result->settings.classes.resize(*count);
  return {};
}

Status ReadTenantCount(const Setting& setting, WireSettings* result) {
  const Result<std::size_t> count = ParseListSize(setting);
  if (!count) return tl::make_unexpected(count.error());
  result->tenant_names.resize(*count);
  return {};
}

Status ReadCoresOfKinds(const Setting& setting, WireSettings* result) {
  const Result<std::vector<std::string>> items = ParseList(setting);
  if (!items) return tl::make_unexpected(items.error());
  for (const std::string& item : *items) {
    const Result<double> cores = ParseNumber({setting.key, item});
    if (!cores) return tl::make_unexpected(cores.error());
    result->settings.node_kinds.push_back({*cores, 1.0});
  }
  return {};
}

// Node kinds without an item in domain.kind_cores have the default number of cores.
Status ReadMemoryOfKinds(const Setting& setting, WireSettings* result) {
  const Result<std::vector<std::string>> items = ParseList(setting);
  if (!items) return tl::make_unexpected(items.error());
  std::vector<NodeKind>& kinds = result->settings.node_kinds;
  if (kinds.size() < items->size()) kinds.resize(items->size());
  for (std::size_t i = 0; i < items->size(); ++i) {
    Status status = Assign(ParseNumber({setting.key, (*items)[i]}), &kinds[i].memory);
    if (!status) return status;
  }
  return {};
}

// ---- The tables of keys ----

constexpr Choice<Idempotency> kIdempotencyChoices[] = {{"safe", Idempotency::kIdempotent},
                                                       {"keyed", Idempotency::kWithKey},
                                                       {"unsafe", Idempotency::kNotIdempotent}};
constexpr Choice<DeduplicationScope> kDeduplicationScopeChoices[] = {{"all", DeduplicationScope::kAll},
                                                                     {"zone", DeduplicationScope::kZone},
                                                                     {"cell", DeduplicationScope::kRack}};
constexpr Choice<TopologySpread> kTopologySpreadChoices[] = {{"silent", TopologySpread::kNone},
                                                             {"none", TopologySpread::kNone},
                                                             {"machine", TopologySpread::kNode},
                                                             {"cell", TopologySpread::kRack},
                                                             {"zone", TopologySpread::kZone}};
constexpr Choice<bool> kDiscoveryChoices[] = {{"push", false}, {"ask", true}};
constexpr Choice<bool> kStartedChoices[] = {{"running", true}, {"accepted", false}};
constexpr Choice<bool> kReportedCapacityChoices[] = {{"asked", true}, {"used", false}};

constexpr Row<WireSettings> kClassCountRow[] = {{"profiles.count", ReadClassCount}};

// Keys of one class, without their prefix "profiles.N.".
constexpr Row<TaskClass> kClassRows[] = {
    {"effect", ReadClassChoice<&TaskClass::idempotency, kIdempotencyChoices>},
    {"key_scope", ReadClassChoice<&TaskClass::deduplication_scope, kDeduplicationScopeChoices>},
    {"window_us", ReadMember<&TaskClass::deduplication_window>},
    {"aim_us", ReadMember<&TaskClass::start_target>},
    {"worth", ReadMember<&TaskClass::value_per_second>},
    {"late_value", ReadMember<&TaskClass::late_value>},
};

// Keys whose value is a list with one item for each class.
constexpr Row<TaskClass> kPerClassListRows[] = {
    {"domain.spread_by", ReadClassChoice<&TaskClass::topology_spread, kTopologySpreadChoices>},
    {"domain.together_max", ReadMember<&TaskClass::max_per_domain>},
    {"domain.kind_by_class", ReadMember<&TaskClass::node_kind>},
    {"domain.priority_by_class", ReadMember<&TaskClass::priority>},
    {"domain.start_seconds", ReadMember<&TaskClass::start_value_seconds>},
    {"domain.calm_level", ReadMember<&TaskClass::full_service_utilisation>},
};

constexpr Row<WireSettings> kSchedulerRows[] = {
    {"domain.kind_cores", ReadCoresOfKinds},
    {"domain.mem_of_kind", ReadMemoryOfKinds},
    {"group_size", ReadSettingsMember<&Settings::group_size>},
    {"self_index", ReadSettingsMember<&Settings::self_index>},
    {"zone", ReadSettingsMember<&Settings::own_zone>},
    {"discovery", ReadSettingsChoice<&Settings::list_on_request, kDiscoveryChoices>},
    {"domain.lists_free", ReadSettingsMember<&Settings::list_has_free_capacity>},
    {"domain.ack", ReadSettingsChoice<&Settings::started_means_running, kStartedChoices>},
    {"domain.counts", ReadSettingsChoice<&Settings::reports_requested_capacity, kReportedCapacityChoices>},
    {"bounds.probes", ReadSettingsMember<&Settings::may_check_health>},
    {"bounds.cancel", ReadSettingsMember<&Settings::may_cancel>},
    {"bounds.second_copies", ReadSettingsMember<&Settings::may_duplicate_attempts>},
    {"domain.displaces", ReadSettingsMember<&Settings::nodes_preempt>},
    {"bounds.max_attempts", ReadSettingsMember<&Settings::max_attempts>},
    {"domain.mean_cores", ReadSettingsMember<&Settings::mean_cores>},
    {"domain.usual_memory", ReadSettingsMember<&Settings::mean_memory>},
    {"domain.admit_cores", ReadSettingsMember<&Settings::overcommit_cores>},
    {"domain.admit_memory", ReadSettingsMember<&Settings::overcommit_memory>},
    {"domain.owner_wait_us", ReadSettingsMember<&Settings::client_wait>},
    {"safety.answer_slack_us", ReadSettingsMember<&Settings::answer_slack>},
    {"safety.ask_within_us", ReadSettingsMember<&Settings::ask_within>},
    {"safety.drain_grace_us", ReadSettingsMember<&Settings::drain_grace_period>},
    {"safety.cold_from", ReadSettingsMember<&Settings::slow_start_initial_pace>},
    {"safety.cold_us", ReadSettingsMember<&Settings::slow_start_duration>},
    {"safety.fall_multiple", ReadSettingsMember<&Settings::overload_multiple>},
    {"safety.tip_after_us", ReadSettingsMember<&Settings::slow_start_window>},
    {"domain.cold_bears", ReadSettingsMember<&Settings::slow_start_budget>},
    {"domain.refusal_fee", ReadSettingsMember<&Settings::rejection_price>},
    {"prices.cross_zone", ReadSettingsMember<&Settings::cross_zone_price>},
    {"prices.moves", ReadSettingsMember<&Settings::migration_price>},
    {"domain.evict_weight", ReadSettingsMember<&Settings::eviction_weight>},
    {"prices.probe", ReadSettingsMember<&Settings::health_check_price>},
    {"stats.names", ReadMember<&WireSettings::report_names>},
};

// The names and limits below are used by the protocols only. The scheduler does not get them, so no decision
// depends on them.
struct ProtocolClass {
  std::string name;
  Micros deadline = 0;
};

Status ReadClassName(const Setting& setting, ProtocolClass* target) {
  target->name = setting.value;
  return {};
}

// Keys of one class, without their prefix "profiles.N.".
constexpr Row<ProtocolClass> kProtocolClassRows[] = {
    {"name", ReadClassName},
    {"hard_limit_us", ReadMember<&ProtocolClass::deadline>},
};

constexpr Row<WireSettings> kTenantCountRow[] = {{"orgs.count", ReadTenantCount}};

Status ReadTenantName(const Setting& setting, std::string* name) {
  *name = setting.value;
  return {};
}

// Keys of one tenant, without their prefix "orgs.N.".
constexpr Row<std::string> kTenantRows[] = {{"name", ReadTenantName}};

constexpr Row<WireSettings> kProtocolRows[] = {
    {"kinds", ReadMember<&WireSettings::kind_names>},
    {"failure_domains", ReadMember<&WireSettings::zone_names>},
    {"bounds.connect_timeout_us", ReadMember<&WireSettings::connect_timeout>},
    {"bounds.conn_idle_us", ReadMember<&WireSettings::conn_idle>},
};

// ---- Reading the tables ----

// Reads the keys of `rows` that occur in `pairs`, where each key is preceded by `prefix`.
template <typename Target>
Status ReadRows(const KeyValues& pairs, const std::string& prefix, std::span<const Row<Target>> rows,
                Target* target) {
  for (const Row<Target>& row : rows) {
    const auto pair = pairs.find(prefix + std::string(row.key));
    if (pair == pairs.end()) continue;
    if (Status status = row.read({pair->first, pair->second}, target); !status) return status;
  }
  return {};
}

std::string ClassPrefix(std::size_t index) { return "profiles." + std::to_string(index) + "."; }

Status ReadClasses(const KeyValues& pairs, WireSettings* result) {
  if (Status status = ReadRows<WireSettings>(pairs, "", kClassCountRow, result); !status) return status;
  std::vector<TaskClass>& classes = result->settings.classes;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    Status status = ReadRows<TaskClass>(pairs, ClassPrefix(i), kClassRows, &classes[i]);
    if (!status) return status;
  }
  return {};
}

// Reads a list with one item for each class. Ignores items beyond the number of classes.
Status ReadPerClassList(const Setting& setting, ReadFunction<TaskClass> read,
                        std::vector<TaskClass>* classes) {
  const Result<std::vector<std::string>> items = ParseList(setting);
  if (!items) return tl::make_unexpected(items.error());
  for (std::size_t i = 0; i < items->size() && i < classes->size(); ++i) {
    if (Status status = read({setting.key, (*items)[i]}, &(*classes)[i]); !status) return status;
  }
  return {};
}

Status ReadPerClassLists(const KeyValues& pairs, WireSettings* result) {
  for (const Row<TaskClass>& row : kPerClassListRows) {
    const auto pair = pairs.find(row.key);
    if (pair == pairs.end()) continue;
    Status status = ReadPerClassList({pair->first, pair->second}, row.read, &result->settings.classes);
    if (!status) return status;
  }
  return {};
}

Status ReadSchedulerSettings(const KeyValues& pairs, WireSettings* result) {
  return ReadRows<WireSettings>(pairs, "", kSchedulerRows, result);
}

Status ReadProtocolClasses(const KeyValues& pairs, WireSettings* result) {
  for (std::size_t i = 0; i < result->settings.classes.size(); ++i) {
    ProtocolClass protocol_class;
    Status status = ReadRows<ProtocolClass>(pairs, ClassPrefix(i), kProtocolClassRows, &protocol_class);
    if (!status) return status;
    result->class_names.push_back(std::move(protocol_class.name));
    result->longest_deadline = std::max(result->longest_deadline, protocol_class.deadline);
  }
  return {};
}

Status ReadTenants(const KeyValues& pairs, WireSettings* result) {
  if (Status status = ReadRows<WireSettings>(pairs, "", kTenantCountRow, result); !status) return status;
  std::vector<std::string>& names = result->tenant_names;
  for (std::size_t i = 0; i < names.size(); ++i) {
    Status status = ReadRows<std::string>(pairs, "orgs." + std::to_string(i) + ".", kTenantRows, &names[i]);
    if (!status) return status;
  }
  return {};
}

Status ReadProtocolSettings(const KeyValues& pairs, WireSettings* result) {
  return ReadRows<WireSettings>(pairs, "", kProtocolRows, result);
}

// ---- Splitting the text into lines ----

constexpr std::size_t kMaxQuotedBytes = 80;  // bytes of a malformed line that the error quotes at most

Result<KeyValues> SplitLines(std::string_view text) {
  KeyValues pairs;
  for (std::size_t from = 0, line = 1; from < text.size(); ++line) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    const std::string_view row = text.substr(from, end - from);
    from = end + 1;
    if (row.empty()) continue;
    const std::size_t equals = row.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      return tl::make_unexpected(SettingsError{SettingsErrorCode::kMalformedLine, "", line, "path=value",
                                               std::string(row.substr(0, kMaxQuotedBytes))});
    }
    pairs[std::string(row.substr(0, equals))] = std::string(row.substr(equals + 1));
  }
  return pairs;
}

}  // namespace

tl::expected<WireSettings, SettingsError> ParseSettings(std::string_view text) {
  const Result<KeyValues> pairs = SplitLines(text);
  if (!pairs) return tl::make_unexpected(pairs.error());
  WireSettings result;
  // If there are several errors, the order of these functions determines which one is reported.
  for (const auto read : {ReadClasses, ReadPerClassLists, ReadSchedulerSettings, ReadProtocolClasses,
                          ReadTenants, ReadProtocolSettings}) {
    Status status = read(*pairs, &result);
    if (!status) return tl::make_unexpected(std::move(status.error()));
  }
  return result;
}

void PutReportValue(std::string_view name, double value, LoadReport* report) {
  if (name == "x0") report->free_cores = value;
  if (name == "x1") report->free_memory = value;
  if (name == "pending" || name == "queue") report->queued = value;
  if (name == "cpu_share" || name == "util") report->utilisation = value;
}

}  // namespace mountflow::settings
