#include "tools/chaos/scenario_generator.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "config/config.hpp"

namespace mountflow::chaos {
namespace {

using nlohmann::json;

constexpr double kMinDurationSeconds = 12.0;
constexpr double kMaxCountedFaultSeconds = 7.0;  // only this much of a fault's duration extends the scenario
constexpr double kRecoverySeconds = 6.0;         // from the end of the last fault to the end of the scenario

// Generates faults from random numbers. The order of the draws must not change, because it determines the
// scenario that belongs to a seed.
class Generator {
 public:
  Generator(std::uint64_t seed, json* root) : random_(seed), root_(root) {}

  // Returns a fault with a random start and duration. The function of its row in kRows then adds or replaces
  // fields.
  json DrawTimes() {
    const double start = Draw(3.0, 6.0);
    const double duration = Draw(3.0, 7.0);
    return {{"at_s", start}, {"for_s", duration}};
  }

  void Crash(json& fault) { DrawShare("kill", 0.05, 0.25, fault); }
  void Hang(json& fault) { DrawShare("hang", 0.05, 0.2, fault); }
  void Pauses(json& fault) {
    DrawShare("pauses", 0.1, 0.5, fault);
    fault["size"] = Draw(0.2, 0.6);
    fault["every_s"] = Draw(0.8, 2.0);
  }
  void MassRestart(json& fault) {
    DrawShare("kill", 0.4, 0.6, fault);
    fault["for_s"] = Draw(1.0, 3.0);
  }
  void StaleNodeList(json& fault) {
    fault["kind"] = "late_list";
    fault["size"] = Draw(2.0, 6.0);
  }
  void ZoneLoss(json& fault) {
    fault["kind"] = "kill";
    fault["room"] = "room-b";
  }
  // Models a growing cluster: a share of the nodes is killed at the start and joins later.
  void Grow(json& fault) {
    const json join_time = fault["at_s"];
    DrawShare("kill", 0.3, 0.5, fault);
    fault["at_s"] = 0.0;
    fault["for_s"] = join_time;
  }
  void Shrink(json& fault) {
    DrawShare("drain", 0.25, 0.5, fault);
    fault["for_s"] = kPermanentSeconds;
  }
  void Ageing(json& fault) {
    DrawShare("slow", 0.1, 0.3, fault);
    fault["size"] = Draw(5.0, 20.0);
    fault["for_s"] = kPermanentSeconds;
  }
  void Neighbour(json& fault) {
    DrawShare("slow", 0.1, 0.5, fault);
    fault["size"] = Draw(1.5, 4.0);
  }
  void ClassFail(json& fault) {
    DrawShare("fail_queue", 0.1, 0.3, fault);
    fault["queue"] = "batch";
  }
  void Reconnect(json& fault) {
    DrawShare("reconnect", 0.1, 0.6, fault);
    fault["for_s"] = Draw(0.3, 3.0);
  }
  void Burst(json& fault) {
    fault["kind"] = "burst";
    fault["size"] = Draw(1.4, 2.5);
  }
  void DaemonKill(json& fault) {
    fault["kind"] = "daemon_kill";
    fault["daemon"] = 1;
    fault["for_s"] = Draw(0.5, 2.0);
  }
  void DaemonStop(json& fault) {
    fault["kind"] = "daemon_stop";
    fault["daemon"] = 2;
    fault["for_s"] = Draw(0.2, 1.0);
    fault["size"] = std::floor(Draw(0.0, 6.0));
  }
  void DaemonReload(json& fault) {
    fault["kind"] = "daemon_reload";
    fault["size"] = std::floor(Draw(2.0, 9.0));
  }
  // Sets fields of the nodes' configuration; there is no fault at a point in time.
  void HeavyTail(json& fault) {
    (*root_)["node"]["over_share"] = Draw(0.05, 0.13);
    (*root_)["node"]["over_factor"] = Draw(2.0, 4.0);
    fault = nullptr;
  }

 private:
  double Draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  void DrawShare(const char* kind, double from, double to, json& fault) {
    fault["kind"] = kind;
    fault["share"] = Draw(from, to);
  }

  std::mt19937_64 random_;
  json* root_;
};

struct GeneratorRow {
  const char* name;
  void (Generator::*fill)(json& fault);
};

constexpr GeneratorRow kRows[] = {
    {"crash", &Generator::Crash},
    {"hang", &Generator::Hang},
    {"pauses", &Generator::Pauses},
    {"mass_restart", &Generator::MassRestart},
    {"discovery_stale", &Generator::StaleNodeList},
    {"zone_loss", &Generator::ZoneLoss},
    {"grow", &Generator::Grow},
    {"shrink", &Generator::Shrink},
    {"ageing", &Generator::Ageing},
    {"neighbour", &Generator::Neighbour},
    {"class_fail", &Generator::ClassFail},
    {"reconnect", &Generator::Reconnect},
    {"burst", &Generator::Burst},
    {"heavy_tail", &Generator::HeavyTail},
    {"daemon_kill", &Generator::DaemonKill},
    {"daemon_stop", &Generator::DaemonStop},
    {"daemon_reload", &Generator::DaemonReload},
};

double EndOf(const json& fault) {
  return fault["at_s"].get<double>() + std::min(fault["for_s"].get<double>(), kMaxCountedFaultSeconds);
}

}  // namespace

std::vector<std::string> DrawSoakFaults(std::uint64_t seed) {
  constexpr std::size_t kDrawnFaults = 3;
  std::vector<std::string> drawn;
  for (const GeneratorRow& row : kRows) {
    const std::string name = row.name;
    if (!name.starts_with("daemon_")) drawn.push_back(name);
  }
  std::mt19937_64 random(seed);
  std::shuffle(drawn.begin(), drawn.end(), random);
  drawn.resize(kDrawnFaults);
  std::vector<std::string> names = {"daemon_kill", "daemon_stop", "daemon_reload"};
  names.insert(names.end(), drawn.begin(), drawn.end());
  return names;
}

tl::expected<std::string, ScenarioError> GenerateScenario(const std::vector<std::string>& fault_names,
                                                          std::uint64_t seed) {
  json root = config::ParseJson(kDefaultScenario, "embedded scenario").value();  // valid, as a test ensures
  root["name"] = "made";
  root["seed"] = seed;
  root["faults"] = json::array();
  Generator generator(seed, &root);
  double duration = kMinDurationSeconds;
  for (const std::string& name : fault_names) {
    const auto* const row =
        std::find_if(std::begin(kRows), std::end(kRows),
                     [&name](const GeneratorRow& candidate) { return name == candidate.name; });
    if (row == std::end(kRows)) {
      ScenarioError unknown;
      unknown.code = ScenarioError::Code::kUnknownFaultName;
      unknown.fault_name = name;
      return tl::unexpected(std::move(unknown));
    }
    json fault = generator.DrawTimes();
    (generator.*row->fill)(fault);
    if (fault.is_null()) continue;
    duration = std::max(duration, EndOf(fault) + kRecoverySeconds);
    root["faults"].push_back(std::move(fault));
  }
  root["length_s"] = duration;
  return root.dump(2) + "\n";
}

}  // namespace mountflow::chaos
