// Ten nodes, forty tasks. Three nodes vanish for 5 s and come back with new processes, which hold nothing;
// the change log tells the new start. Judged: each task that was cut is released towards its client.
//
//   cold_return ROOT FOLDER RECORD TROUBLE
//
// Without the disruption (TROUBLE 0) the same nodes end the same tasks themselves, with cause 16.
#include "platform_standins.hpp"

using namespace standins;

namespace {

constexpr int kNodes = 10;
constexpr int kLostNodes = 3;
constexpr Uid kTasks = 40;
constexpr double kAwaySeconds = 5.0;
constexpr double kNoticeSeconds = 1.0;  // from the new start to its event in the change log
constexpr std::int64_t kReleaseWithinMs = 8000 + 50;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const std::string root = argv[1];
  const std::string folder = argv[2];
  Record record(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";

  ChangeLog changes;
  Client client(&record);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Party*> parties{&changes, &client};
  std::string entries;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<Node>("s-" + std::to_string(i), i / 5, &record));
    entries += (i == 0 ? "" : ",") + nodes.back()->Entry("ready", 0);
    parties.push_back(nodes.back().get());
  }
  changes.Add(entries, true);
  const int port = SchedulerProcess::FreePort();
  SchedulerProcess scheduler(root, folder, port, changes.address(), changes.Body(0));
  const auto is_ready = [&] {
    if (client.connection == nullptr && client.Open(port)) client.Check();
    return client.ready;
  };
  if (!RunUntil(parties, 30, is_ready)) {
    record.Line("could not run: the scheduler was not ready within 30 s");
    return 2;
  }
  for (Uid uid = 1; uid <= kTasks; ++uid) {
    client.Launch(uid << 32 | uid, uid % 20 == 0 ? "recount-batch" : "stock-service", 8000);
    RunUntil(parties, 0.04, [] { return false; });
  }
  RunUntil(parties, 9, [&] { return client.placed.size() + client.refused.size() == kTasks; });
  RunUntil(parties, 1, [] { return false; });

  std::set<Uid> over;  // the tasks that come to an end
  for (int i = 0; i < kLostNodes; ++i) over.insert(nodes[i]->running.begin(), nodes[i]->running.end());
  if (over.empty()) {
    record.Line("could not run: the scheduler placed nothing on the first nodes");
    return 2;
  }
  std::int64_t ended_at = 0;
  if (trouble) {
    for (int i = 0; i < kLostNodes; ++i) nodes[i]->Vanish();
    RunUntil(parties, kAwaySeconds, [] { return false; });
    ended_at = NowMs();
    for (int i = 0; i < kLostNodes; ++i) nodes[i]->ReturnCold();
    RunUntil(parties, kNoticeSeconds, [] { return false; });
    std::string changed;
    for (int i = 0; i < kLostNodes; ++i) changed += (i == 0 ? "" : ",") + nodes[i]->Entry("ready", ended_at);
    changes.Add(changed, false);
    record.Line("change log: event %zu, the new start of the nodes", changes.events.size());
  } else {
    RunUntil(parties, kAwaySeconds, [] { return false; });
    ended_at = NowMs();
    for (int i = 0; i < kLostNodes; ++i) {
      const std::set<Uid> running = nodes[i]->running;
      for (const Uid uid : running) nodes[i]->EndTask(uid);
    }
  }
  // Judged from the last moment at which the tasks can have ended, the return; observed longer than needed.
  RunUntil(parties, 20, [&] {
    for (const Uid uid : over) {
      if (client.released.count(uid) == 0) return false;
    }
    return true;
  });
  std::size_t standing = 0;
  std::size_t late = 0;
  for (const Uid uid : over) {
    const auto told = client.released.find(uid);
    if (told == client.released.end()) {
      record.Line("task %s: its client was never told of its end", Hex(uid).c_str());
      ++standing;
    } else if (told->second > ended_at + kReleaseWithinMs) {
      record.Line("task %s: its client was told late", Hex(uid).c_str());
      ++late;
    }
  }
  const double observed = static_cast<double>(NowMs() - ended_at) / 1000.0;
  record.Line("of %zu tasks that were over: %zu still standing %.1f s after the end, %zu told late",
              over.size(), standing, observed, late);
  if (!client.IsOpen() || scheduler.HasEnded() || changes.told < changes.events.size()) {
    record.Line("could not run: a connection or the scheduler was lost");
    return 2;
  }
  return standing + late > 0 ? 1 : 0;
}
