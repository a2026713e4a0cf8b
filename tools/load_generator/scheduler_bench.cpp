// Measures the scheduler library alone: the mean time for each request, second by second, at a constant rate
// and with a virtual clock. A small simulation answers the attempts: a task starts after 2 ms and ends
// after its run time, 1 in 100 attempts is rejected because the node is full, and each second a node list
// with constant free capacity arrives.
//
// Also prints a digest of all actions: two builds that make the same decisions print the same digest.
#include <xxhash.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace {

using namespace mountflow;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'000 * kSecond;
constexpr Micros kListAge = 2 * kSecond;

class World {
 public:
  unsigned nodes = 100, services = 100;
  double rate = 1000.0, cores = 0.01;
  std::uint64_t seconds = 60, seed = 1;
  Micros life = 1000;
  std::uint64_t expect = 0;  // expected digest; 0: any

  int Run() {
    Settings s;
    s.classes.resize(3);
    for (std::size_t i = 0; i < 3; ++i) {
      s.classes[i].idempotency = i == 0   ? Idempotency::kNotIdempotent
                                 : i == 1 ? Idempotency::kWithKey
                                          : Idempotency::kIdempotent;
      s.classes[i].deduplication_window = 60 * kSecond;
      s.classes[i].priority = 2 - static_cast<int>(i);
    }
    s.node_kinds = {{32.0, 64.0}};
    s.group_size = 1;
    s.self_index = 0;
    s.list_has_free_capacity = true;
    s.started_means_running = false;
    s.may_cancel = true;
    s.max_attempts = 4;
    Scheduler scheduler(s, seed);
    free_.assign(nodes, 32.0);
    for (std::uint64_t second = 0; second <= seconds; ++second) Push(kStart + second * kSecond, kNodeList, 0);
    const auto total = static_cast<std::uint64_t>(rate * static_cast<double>(seconds));
    Push(kStart + 1, kArrival, 1);
    std::vector<double> spent(seconds + 1);
    std::vector<std::uint64_t> requests(seconds + 1);
    std::vector<Action> actions;
    while (!due_.empty()) {
      const Due due = due_.top();
      due_.pop();
      const std::uint64_t second = (due.at - kStart) / kSecond;
      if (second >= seconds && due.kind != kOutcome && due.kind != kPlacement) continue;
      if (due.kind == kArrival) {
        if (due.id < total) {
          const double at = static_cast<double>(due.id) * 1e6 / rate;
          Push(kStart + 1 + static_cast<Micros>(at), kArrival, due.id + 1);
        }
        ++requests[std::min(second, seconds)];
      }
      const Event event = EventOf(due);
      actions.clear();
      const auto before = std::chrono::steady_clock::now();
      scheduler.Handle(due.at, event, &actions);
      spent[std::min(second, seconds)] +=
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - before).count();
      for (const Action& action : actions) Do(due.at, action);
    }
    for (std::uint64_t i = 0; i < seconds; ++i) {
      if (i % 10 != 0 && i + 1 != seconds) continue;
      const nlohmann::json line = {{"second", i},
                                   {"us_a_request", spent[i] / std::max<double>(1, requests[i])}};
      std::printf("%s\n", line.dump().c_str());
    }
    double all = 0.0;
    for (double one : spent) all += one;
    const nlohmann::json line = {{"nodes", nodes},
                                 {"rate", rate},
                                 {"seconds", seconds},
                                 {"us_a_request", all / static_cast<double>(total)},
                                 {"offers", attempts_},
                                 {"refusals", rejections_},
                                 {"digest", XXH3_64bits_digest(hash_)}};
    std::printf("%s\n", line.dump().c_str());
    if (expect == 0 || expect == XXH3_64bits_digest(hash_)) return 0;
    std::fprintf(stderr, "mountflow-scheduler-bench: other actions than those of digest %llu\n",
                 static_cast<unsigned long long>(expect));
    return 1;
  }

 private:
  enum Kind { kNodeList, kArrival, kPlacement, kOutcome, kTimer };
  struct Due {
    Micros at;
    std::uint64_t order;
    Kind kind;
    std::uint64_t id;
    bool operator>(const Due& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Out {
    unsigned attempt = 0;
    NodeId node = 0;
    bool rejected = false;
  };

  void Push(Micros at, Kind kind, std::uint64_t id) { due_.push({at, ++order_, kind, id}); }

  Event EventOf(const Due& due) {
    const auto request = static_cast<RequestId>(due.id);
    switch (due.kind) {
      case kNodeList: {
        NodeListUpdate node_list;
        for (unsigned i = 0; i < nodes; ++i) {
          NodeEntry e;
          e.node = i + 1;
          e.rack = i / 10;
          e.zone = i / 100;
          e.free_cores = free_[i];
          e.free_memory = 64.0;
          node_list.nodes.push_back(e);
        }
        return node_list;
      }
      case kArrival: {
        TaskSubmitted arrival;
        arrival.task = {request, request % 3,        0,     due.at + 10 * kSecond,
                        request, request % services, cores, cores};
        return arrival;
      }
      case kPlacement:
        return TaskStarted{request, out_[request].attempt, out_[request].node, 2'000};
      case kOutcome: {
        AttemptEnded o;
        o.request = request;
        o.attempt = out_[request].attempt;
        o.node = out_[request].node;
        o.request_closed = !out_[request].rejected;
        o.result = out_[request].rejected ? AttemptResult::kRejected : AttemptResult::kCompleted;
        o.reason = out_[request].rejected ? RejectionReason::kNoCores : RejectionReason::kUnspecified;
        return o;
      }
      case kTimer:
        break;
    }
    return TimerFired{due.id};
  }

  void Do(Micros now, const Action& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      ++attempts_;
      Digest(start->request);
      Digest(start->node);
      const bool rejected = attempts_ % 100 == 0;
      out_[start->request] = {start->attempt, start->node, rejected};
      if (!rejected) Push(now + 2'000, kPlacement, start->request);
      Push(now + 2'000 + (rejected ? 0 : life), kOutcome, start->request);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      Push(timer->at, kTimer, timer->token);
    } else if (const auto* rejection = std::get_if<RejectTask>(&action)) {
      ++rejections_;
      Digest(rejection->request);
    }
  }

  template <typename T>
  void Digest(const T& value) {
    XXH3_64bits_update(hash_, &value, sizeof value);
  }

  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0, attempts_ = 0, rejections_ = 0;
  std::vector<double> free_;
  std::map<RequestId, Out> out_;
  XXH3_state_t* hash_ = [] {
    XXH3_state_t* state = XXH3_createState();
    XXH3_64bits_reset(state);
    return state;
  }();
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"mountflow-scheduler-bench: what a request costs the module, by second, at a steady rate"};
  World world;
  app.add_option("--nodes", world.nodes, "machines in the view")->check(CLI::Range(1, 100'000));
  app.add_option("--rate", world.rate, "requests a second")->check(CLI::Range(1.0, 1e6));
  app.add_option("--seconds", world.seconds, "for so long, by the virtual clock")
      ->check(CLI::Range(1, 86'400));
  app.add_option("--life", world.life, "how long a task runs, microseconds");
  app.add_option("--cores", world.cores, "cores that each asks for");
  app.add_option("--services", world.services, "services that take turns")->check(CLI::Range(1, 1'000'000));
  app.add_option("--seed", world.seed, "of the module's draws");
  app.add_option("--expect", world.expect, "fail unless the digest of all actions is this");
  CLI11_PARSE(app, argc, argv);
  return world.Run();
}
