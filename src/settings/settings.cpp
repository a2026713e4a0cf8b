#include "settings/settings.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <utility>

namespace mountflow::settings {
namespace {

constexpr std::size_t kMostItems = 4096;  // classes or kinds in one settings text

[[noreturn]] void Bad(const std::string& key, const std::string& value, const char* expected) {
  throw SettingsError("setting " + key + ": expected " + expected + ", got '" + value + "'");
}

double Number(const std::string& key, const std::string& value) {
  char* end = nullptr;
  const double number = std::strtod(value.c_str(), &end);
  if (value.empty() || *end != '\0' || !std::isfinite(number)) Bad(key, value, "a number");
  return number;
}

Micros Time(const std::string& key, const std::string& value) {
  const double number = Number(key, value);
  if (number < 0 || number > 9e15) Bad(key, value, "a time of 0 or more");
  return static_cast<Micros>(number);
}

int Whole(const std::string& key, const std::string& value) {
  const double number = Number(key, value);
  if (number != std::floor(number) || std::fabs(number) > 2e9) Bad(key, value, "a whole number");
  return static_cast<int>(number);
}

bool Flag(const std::string& key, const std::string& value) {
  if (value != "true" && value != "false") Bad(key, value, "true or false");
  return value == "true";
}

std::vector<std::string> Items(std::string_view value) {
  std::vector<std::string> items;
  if (value.empty()) return items;
  for (std::size_t from = 0;;) {
    const std::size_t comma = value.find(',', from);
    items.emplace_back(value.substr(from, comma - from));
    if (items.size() > kMostItems) throw SettingsError("a settings list is too long");
    if (comma == std::string_view::npos) return items;
    from = comma + 1;
  }
}

template <typename T>
T OneOf(const std::string& key, const std::string& value,
        const std::vector<std::pair<const char*, T>>& choices) {
  std::string expected = "one of";
  for (const auto& [name, result] : choices) {
    if (value == name) return result;
    expected += std::string(" ") + name;
  }
  Bad(key, value, expected.c_str());
}

using Map = std::map<std::string, std::string, std::less<>>;
using Reader = std::function<void(const std::string&, const std::string&)>;

// Applies `read` to the value of `key`, if it is there.
void Take(const Map& pairs, const std::string& key, const Reader& read) {
  if (const auto it = pairs.find(key); it != pairs.end()) read(key, it->second);
}

void ReadClass(const Map& pairs, const std::string& at, TaskClass* one) {
  Take(pairs, at + "effect", [&](auto& k, auto& v) {
    one->idempotency = OneOf<Idempotency>(k, v,
                                          {{"safe", Idempotency::kIdempotent},
                                           {"keyed", Idempotency::kWithKey},
                                           {"unsafe", Idempotency::kNotIdempotent}});
  });
  Take(pairs, at + "key_scope", [&](auto& k, auto& v) {
    one->deduplication_scope = OneOf<DeduplicationScope>(k, v,
                                                         {{"all", DeduplicationScope::kAll},
                                                          {"zone", DeduplicationScope::kZone},
                                                          {"cell", DeduplicationScope::kRack}});
  });
  Take(pairs, at + "window_us", [&](auto& k, auto& v) { one->deduplication_window = Time(k, v); });
  Take(pairs, at + "aim_us", [&](auto& k, auto& v) { one->start_target = Time(k, v); });
  Take(pairs, at + "worth", [&](auto& k, auto& v) { one->value_per_second = Number(k, v); });
  Take(pairs, at + "late_value", [&](auto& k, auto& v) { one->late_value = Number(k, v); });
}

// Reads a list that has one value for each class.
void PerClass(const Map& pairs, const std::string& key, std::vector<TaskClass>* classes,
              const std::function<void(TaskClass&, const std::string&)>& read) {
  Take(pairs, key, [&](auto&, auto& v) {
    const auto items = Items(v);
    for (std::size_t i = 0; i < items.size() && i < classes->size(); ++i) read((*classes)[i], items[i]);
  });
}

}  // namespace

WireSettings ParseSettings(std::string_view text) {
  Map pairs;
  for (std::size_t from = 0, line = 1; from < text.size(); ++line) {
    std::size_t end = text.find('\n', from);
    if (end == std::string_view::npos) end = text.size();
    const std::string_view row = text.substr(from, end - from);
    from = end + 1;
    if (row.empty()) continue;
    const std::size_t equals = row.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      throw SettingsError("settings line " + std::to_string(line) + ": expected path=value, got '" +
                          std::string(row.substr(0, 80)) + "'");
    }
    pairs[std::string(row.substr(0, equals))] = std::string(row.substr(equals + 1));
  }

  WireSettings result;
  Settings& s = result.settings;
  const auto flag = [&](const char* key, bool* to) {
    Take(pairs, key, [&](auto& k, auto& v) { *to = Flag(k, v); });
  };
  const auto number = [&](const char* key, double* to) {
    Take(pairs, key, [&](auto& k, auto& v) { *to = Number(k, v); });
  };
  const auto time = [&](const char* key, Micros* to) {
    Take(pairs, key, [&](auto& k, auto& v) { *to = Time(k, v); });
  };
  const auto whole = [&](const char* key, int* to) {
    Take(pairs, key, [&](auto& k, auto& v) { *to = Whole(k, v); });
  };

  Take(pairs, "profiles.count", [&](auto& k, auto& v) {
    const int count = Whole(k, v);
    if (count < 0 || count > static_cast<int>(kMostItems)) Bad(k, v, "a count");
    s.classes.resize(static_cast<std::size_t>(count));
  });
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    ReadClass(pairs, "profiles." + std::to_string(i) + ".", &s.classes[i]);
  }
  const std::string domain = "domain.";
  PerClass(pairs, domain + "spread_by", &s.classes, [&](TaskClass& c, const std::string& v) {
    c.topology_spread = OneOf<TopologySpread>("domain.spread_by", v,
                                              {{"silent", TopologySpread::kNone},
                                               {"none", TopologySpread::kNone},
                                               {"machine", TopologySpread::kNode},
                                               {"cell", TopologySpread::kRack},
                                               {"zone", TopologySpread::kZone}});
  });
  PerClass(pairs, domain + "together_max", &s.classes,
           [](TaskClass& c, const std::string& v) { c.max_per_domain = Whole("domain.together_max", v); });
  PerClass(pairs, domain + "kind_by_class", &s.classes,
           [](TaskClass& c, const std::string& v) { c.node_kind = Whole("domain.kind_by_class", v); });
  PerClass(pairs, domain + "priority_by_class", &s.classes,
           [](TaskClass& c, const std::string& v) { c.priority = Whole("domain.priority_by_class", v); });
  PerClass(pairs, domain + "start_seconds", &s.classes, [](TaskClass& c, const std::string& v) {
    c.start_value_seconds = Number("domain.start_seconds", v);
  });
  PerClass(pairs, domain + "calm_level", &s.classes, [](TaskClass& c, const std::string& v) {
    c.full_service_utilisation = Number("domain.calm_level", v);
  });

  Take(pairs, domain + "kind_cores", [&](auto& k, auto& v) {
    for (const auto& item : Items(v)) s.node_kinds.push_back({Number(k, item), 1.0});
  });
  Take(pairs, domain + "mem_of_kind", [&](auto& k, auto& v) {
    const auto items = Items(v);
    if (s.node_kinds.size() < items.size()) s.node_kinds.resize(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) s.node_kinds[i].memory = Number(k, items[i]);
  });

  whole("group_size", &s.group_size);
  whole("self_index", &s.self_index);
  whole("zone", &s.own_zone);
  Take(pairs, "discovery", [&](auto& k, auto& v) {
    s.list_on_request = OneOf<bool>(k, v, {{"push", false}, {"ask", true}});
  });
  flag("domain.lists_free", &s.list_has_free_capacity);
  Take(pairs, "domain.ack", [&](auto& k, auto& v) {
    s.started_means_running = OneOf<bool>(k, v, {{"running", true}, {"accepted", false}});
  });
  Take(pairs, "domain.counts", [&](auto& k, auto& v) {
    s.reports_requested_capacity = OneOf<bool>(k, v, {{"asked", true}, {"used", false}});
  });
  flag("bounds.probes", &s.may_check_health);
  flag("bounds.cancel", &s.may_cancel);
  flag("bounds.second_copies", &s.may_duplicate_attempts);
  flag("domain.displaces", &s.nodes_preempt);
  Take(pairs, "bounds.max_attempts", [&](auto& k, auto& v) {
    const int most = Whole(k, v);
    if (most < 0) Bad(k, v, "a count");
    s.max_attempts = static_cast<unsigned>(most);
  });
  number("domain.mean_cores", &s.mean_cores);
  number("domain.usual_memory", &s.mean_memory);
  number("domain.admit_cores", &s.overcommit_cores);
  number("domain.admit_memory", &s.overcommit_memory);
  time("domain.owner_wait_us", &s.client_wait);
  time("safety.answer_slack_us", &s.answer_slack);
  time("safety.ask_within_us", &s.ask_within);
  time("safety.drain_grace_us", &s.drain_grace_period);
  number("safety.cold_from", &s.slow_start_initial_pace);
  time("safety.cold_us", &s.slow_start_duration);
  number("safety.fall_multiple", &s.overload_multiple);
  time("safety.tip_after_us", &s.slow_start_window);
  number("domain.cold_bears", &s.slow_start_budget);
  number("domain.refusal_fee", &s.rejection_price);
  number("prices.cross_zone", &s.cross_zone_price);
  number("prices.moves", &s.migration_price);
  number("domain.evict_weight", &s.eviction_weight);
  number("prices.probe", &s.health_check_price);
  Take(pairs, "stats.names", [&](auto&, auto& v) { result.report_names = Items(v); });

  // Names and limits of the wires: they decide nothing, and the module never sees them.
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string at = "profiles." + std::to_string(i) + ".";
    result.class_names.emplace_back();
    Take(pairs, at + "name", [&](auto&, auto& v) { result.class_names.back() = v; });
    Micros deadline = 0;
    time((at + "hard_limit_us").c_str(), &deadline);
    result.longest_deadline = std::max(result.longest_deadline, deadline);
  }
  Take(pairs, "orgs.count", [&](auto& k, auto& v) {
    const int count = Whole(k, v);
    if (count < 0 || count > static_cast<int>(kMostItems)) Bad(k, v, "a count");
    result.tenant_names.resize(static_cast<std::size_t>(count));
  });
  for (std::size_t i = 0; i < result.tenant_names.size(); ++i) {
    Take(pairs, "orgs." + std::to_string(i) + ".name", [&](auto&, auto& v) { result.tenant_names[i] = v; });
  }
  Take(pairs, "kinds", [&](auto&, auto& v) { result.kind_names = Items(v); });
  Take(pairs, "failure_domains", [&](auto&, auto& v) { result.zone_names = Items(v); });
  time("bounds.connect_timeout_us", &result.connect_timeout);
  time("bounds.conn_idle_us", &result.conn_idle);
  return result;
}

void PutReportValue(std::string_view name, double value, LoadReport* report) {
  if (name == "x0") report->free_cores = value;
  if (name == "x1") report->free_memory = value;
  if (name == "pending" || name == "queue") report->queued = value;
  if (name == "cpu_share" || name == "util") report->utilisation = value;
}

}  // namespace mountflow::settings
