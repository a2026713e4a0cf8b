// Guards against unintended changes of behaviour. Runs the emulated node and its server on all kinds of input
// in random order, and compares digests of all outputs with recorded digests. Renames and changes of
// structure must not change them.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>

#include "node_agent/node_emulator.hpp"
#include "node_agent/node_server.hpp"
#include "tests/support/digest.hpp"
#include "tests/support/golden.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using node_agent::NodeConfig;
using node_agent::NodeEmulator;
using node_agent::TaskEnd;
using node_agent::TaskSpec;

constexpr std::size_t kOutputKinds = std::variant_size_v<node_agent::NodeOutput>;
constexpr std::size_t kEnds = 5;
constexpr unsigned kSeeds = 4;

// Counts the outputs of all runs, so that the test fails if a kind of output never occurs.
struct Occurrences {
  std::array<std::size_t, kOutputKinds> outputs{};
  std::array<std::size_t, kEnds> ends{};
  std::map<std::string, std::size_t> texts;
  std::size_t restarts = 0, late_commits = 0, key_holders = 0;
};

struct OutputDigester {
  Digest* digest;
  Occurrences* occurrences;

  void operator()(const node_agent::AttemptDecision& output) const {
    digest->Add(std::string_view(output.attempt));
    digest->Add(output.accepted);
    digest->Add(output.reason);
    digest->Add(std::string_view(output.text));
    ++occurrences->texts[output.text.substr(0, output.text.find(':'))];
  }
  void operator()(const node_agent::CommitAcknowledged& output) const {
    digest->Add(std::string_view(output.attempt));
  }
  void operator()(const node_agent::RunTask& output) const { digest->Add(std::string_view(output.attempt)); }
  void operator()(const node_agent::SignalTask& output) const {
    digest->Add(std::string_view(output.attempt));
    digest->Add(std::string_view(output.signal));
  }
  void operator()(const node_agent::TaskEnded& output) const {
    digest->Add(std::string_view(output.attempt));
    digest->Add(output.end);
    digest->Add(output.status);
    digest->Add(std::string_view(output.text));
    ++occurrences->ends[static_cast<std::size_t>(output.end)];
    ++occurrences->texts[output.text.substr(0, output.text.find(':'))];
  }
  void operator()(const node_agent::OverloadFailure& output) const {
    digest->Add(output.attempts);
    digest->Add(output.max_attempts);
  }
};

NodeConfig SmallNode(const std::string& name) {
  NodeConfig config;
  config.name = name;
  config.cores = 8.0;
  config.memory = 16.0;
  config.admission_time = 5 * kMs;
  config.admission_queue_size = 3;
  config.max_concurrent_starts = 2;
  config.start_time = 20 * kMs;
  config.program_cache_size = 2;
  config.task_duration = 2 * kSecond;
  config.slow_start_duration = 5 * kSecond;
  config.min_overload_attempts = 60.0;
  return config;
}

// Returns the node configurations to run, by name.
std::map<std::string, NodeConfig> Variants() {
  std::map<std::string, NodeConfig> variants;
  variants["plain"] = SmallNode("plain");
  NodeConfig acknowledging = SmallNode("ack");
  acknowledging.acknowledges_when_running = true;
  variants["ack_running"] = acknowledging;
  NodeConfig executing = SmallNode("exec");
  executing.executes_tasks = true;
  variants["exec"] = executing;
  NodeConfig overcommitted = SmallNode("over");
  overcommitted.overcommit_cores = 2.0;
  overcommitted.overcommit_memory = 2.0;
  overcommitted.memory_overuse_share = 0.3;
  overcommitted.memory_use = 1.2;
  overcommitted.memory_growth_time = 500 * kMs;
  variants["overcommit"] = overcommitted;
  NodeConfig fragile = SmallNode("fragile");
  fragile.min_overload_attempts = 8.0;
  fragile.overload_multiple = 0.5;
  fragile.slow_start_window = 400 * kMs;
  fragile.max_tombstones = 20;
  fragile.memory_growth_time = 0;
  variants["fragile"] = fragile;
  NodeConfig patient = SmallNode("patient");
  patient.drain_ends_tasks = false;
  patient.preempts = false;
  patient.max_tasks = 6;
  patient.load_report_period = 0;
  variants["patient"] = patient;
  return variants;
}

// Runs two nodes of one rack on random input.
class RandomNodes {
 public:
  RandomNodes(NodeConfig config, unsigned seed, Digest* digest, Occurrences* occurrences)
      : config_(std::move(config)), random_(seed), digest_(digest), occurrences_(occurrences) {
    for (auto& node : nodes_) node = NewNode(0);
  }
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) Step();
  }

 private:
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  std::unique_ptr<NodeEmulator> NewNode(Micros started) {
    ++config_.seed;
    return std::make_unique<NodeEmulator>(config_, keys_, now_, started);
  }
  std::string AnyAttempt() {
    const std::size_t recent = std::min<std::size_t>(names_, 24);
    return "d0.1." + std::to_string(recent == 0 ? 0 : names_ - Draw(recent));
  }
  TaskSpec NewTask() {
    TaskSpec task;
    task.attempt = Draw(12) == 0 ? AnyAttempt() : "d0.1." + std::to_string(++names_);
    task.service = "service-" + std::to_string(Draw(6));
    if (Draw(3) == 0) task.idempotency_key = "user\nkey-" + std::to_string(Draw(5));
    task.cores = static_cast<double>(1 + Draw(12)) / 4.0;
    task.memory = static_cast<double>(1 + Draw(20)) / 4.0;
    task.priority = static_cast<int>(Draw(3));
    if (Draw(3) != 0) task.commit_deadline = now_ + Draw(200 * kMs);
    if (Draw(3) == 0) task.duration = Draw(kSecond);
    if (Draw(4) == 0) task.walltime = Draw(kSecond);
    return task;
  }
  void Step() {
    now_ += Draw(4) == 0 ? Draw(60 * kMs) : Draw(8 * kMs);
    auto& node = nodes_[Draw(nodes_.size())];
    while (node->NextTimer() <= now_) node->Tick(now_);
    Act(*node);
    Collect(*node);
    if (node->failed_by_overload() || Draw(900) == 0) {
      for (const std::string& name : node->CommittedAttempts()) {
        const TaskSpec* task = node->FindSpec(name);
        if (!task->idempotency_key.empty()) keys_->Release(task->idempotency_key, name);
      }
      node = NewNode(now_);
      ++occurrences_->restarts;
    }
  }
  void Act(NodeEmulator& node) {
    static const char* const kSignals[] = {"SIGTERM", "TERM", "15", "SIGKILL", "KILL", "9", "SIGUSR1"};
    const std::uint64_t kind = Draw(100);
    if (kind < 40) {
      node.RequestAdmission(now_, NewTask());
    } else if (kind < 44) {
      const bool committed = node.Commit(now_, AnyAttempt());
      if (!committed) ++occurrences_->late_commits;
      digest_->Add(committed);
    } else if (kind < 46) {
      node.Abandon(now_, AnyAttempt());
    } else if (kind < 50) {
      digest_->Add(node.Stop(now_, AnyAttempt()));
    } else if (kind < 56) {
      digest_->Add(node.Signal(now_, AnyAttempt(), kSignals[Draw(7)]));
    } else if (kind < 58) {
      digest_->Add(node.Query(now_, AnyAttempt()));
    } else if (kind == 58) {
      node.SetDraining(now_, Draw(4) == 0);
    } else if (kind == 59) {
      node.SetSlowdown(Draw(5) == 0 ? 3.0 : 1.0);
    } else if (kind < 66 && config_.executes_tasks) {
      node.HandleExit(now_, AnyAttempt(), static_cast<int>(Draw(300)));
    } else if (kind < 70) {
      Read(node);
    } else {
      node.Tick(now_);
    }
  }
  void Read(NodeEmulator& node) {
    const LoadReport load = node.ReportLoad(now_);
    digest_->Add(load.free_cores.value_or(-1.0));
    digest_->Add(load.free_memory.value_or(-1.0));
    digest_->Add(load.queued.value_or(-1.0));
    digest_->Add(load.utilisation.value_or(-1.0));
    for (const std::string& name : node.CommittedAttempts()) digest_->Add(std::string_view(name));
    const std::string* holder = node.FindKeyHolder("user\nkey-" + std::to_string(Draw(5)));
    if (holder != nullptr) ++occurrences_->key_holders;
    digest_->Add(std::string_view(holder == nullptr ? "" : *holder));
    digest_->Add(node.running_tasks());
    digest_->Add(node.free_cores());
    digest_->Add(node.free_memory());
    digest_->Add(node.draining());
    digest_->Add(node.started());
    digest_->Add(node.NextTimer());
  }
  void Collect(NodeEmulator& node) {
    const auto outputs = node.TakeOutputs();
    for (const auto& output : outputs) {
      digest_->Add(output.index());
      ++occurrences_->outputs[output.index()];
      std::visit(OutputDigester{digest_, occurrences_}, output);
      const auto* answer = std::get_if<node_agent::AttemptDecision>(&output);
      if (answer != nullptr && answer->accepted && Draw(5) != 0) {
        digest_->Add(node.Commit(now_, answer->attempt));
      }
    }
  }

  NodeConfig config_;
  std::mt19937_64 random_;
  Digest* digest_;
  Occurrences* occurrences_;
  std::shared_ptr<node_agent::IdempotencyKeyStore> keys_ =
      std::make_shared<node_agent::IdempotencyKeyStore>();
  Micros now_ = 1000 * kSecond;
  std::array<std::unique_ptr<NodeEmulator>, 2> nodes_;
  std::uint64_t names_ = 0;
};

TEST(NodeDigest, EachOutputOfRecordedRunsOfANodeIsAsRecorded) {
  GoldenFile golden("node_digests.txt");
  Occurrences occurrences;
  for (const auto& [name, config] : Variants()) {
    Digest digest;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      RandomNodes(config, seed, &digest, &occurrences).Run(8000);
    }
    golden.Add(name, std::to_string(digest.Value()));
  }
  golden.Compare();
  for (const std::size_t count : occurrences.outputs) EXPECT_GT(count, 20u);
  for (const std::size_t count : occurrences.ends) EXPECT_GT(count, 20u);
  EXPECT_GT(occurrences.restarts, 20u);
  EXPECT_GT(occurrences.late_commits, 20u);
  EXPECT_GT(occurrences.key_holders, 20u);
  for (const char* const text :
       {"fallen over", "draining", "given up or asked before", "as many tasks as it holds",
        "too many offers wait", "a copy of this key stands in the rack", "no cores", "no memory", "stopped",
        "walltime exceeded", "ended by signal SIGTERM", "ended by signal 9", "evicted", "sent away",
        "pushed out for a task of higher priority"}) {
    EXPECT_GT(occurrences.texts[text], 0u) << text;
  }
}

// ---- The batch protocol ----

constexpr std::size_t kSessions = 6;

// Runs one node's server on random requests of two daemons, which are complete, split, malformed or out of
// order.
class RandomRequests {
 public:
  RandomRequests(NodeConfig config, unsigned seed, Digest* digest)
      : random_(seed), digest_(digest), exec_(config.executes_tasks) {
    node_agent::NodeServerOptions options;
    options.max_script_bytes = 200;
    options.max_reports = 5;
    options.max_sessions = kSessions - 1;
    server_ = std::make_unique<node_agent::NodeServer>(
        std::make_unique<NodeEmulator>(std::move(config), nullptr, now_, now_), options);
  }
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) Step();
    digest_->Add(server_->reports().dropped_reports());
  }
  std::size_t dropped() const { return server_->reports().dropped_reports(); }
  std::size_t orders() const { return orders_; }
  std::size_t acknowledged() const { return acknowledged_; }
  std::size_t overloads() const { return overloads_; }
  const std::map<int, std::size_t>& codes() const { return codes_; }

 private:
  struct Client {
    bool open = false;
    std::string attempt;   // of the submission in progress
    std::string replies;   // not yet decoded
    std::size_t next = 0;  // index of the next request in order
  };
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  std::string AnyAttempt() {
    const std::size_t recent = std::min<std::size_t>(names_, 16);
    return "d0.1." + std::to_string(recent == 0 ? 0 : names_ - Draw(recent));
  }
  static void Set(pbs_protocol::Request* request, const std::string& name, const std::string& resource,
                  const std::string& value) {
    request->attributes.push_back({name, resource, value, pbs_protocol::Op::kSet});
  }
  void Submit(pbs_protocol::Request* request, Client* client) {
    request->type = pbs_protocol::RequestType::kQueueJob;
    client->attempt = Draw(10) == 0 ? AnyAttempt() : "d0.1." + std::to_string(++names_);
    request->id = Draw(30) == 0 ? "" : client->attempt;
    request->destination = Draw(4) == 0 ? "unsafe" : "safe";
    Set(request, "Resource_List", "ncpus", Draw(25) == 0 ? "many" : std::to_string(1 + Draw(3)));
    Set(request, "Resource_List", "mem", std::to_string(1 + Draw(3)) + "gb");
    if (Draw(3) == 0) Set(request, "Resource_List", "walltime", "00:00:01");
    Set(request, "service", "", "service-" + std::to_string(Draw(4)));
    if (Draw(3) == 0) Set(request, "key", "", "key-" + std::to_string(Draw(4)));
    Set(request, "Job_Owner", "", "user-" + std::to_string(Draw(2)));
    if (Draw(2) == 0) Set(request, "until", "", std::to_string(now_ + Draw(300 * kMs)));
    Set(request, "class_priority", "", std::to_string(Draw(3)));
    if (Draw(2) == 0) Set(request, "life", "", "0.5");
    Set(request, "server", "", "daemon-" + std::to_string(Draw(2)));
    if (Draw(2) == 0) Set(request, "report_to", "", "127.0.0.1:" + std::to_string(1 + Draw(3)));
  }
  pbs_protocol::Request NewRequest(Client* client) {
    using pbs_protocol::RequestType;
    pbs_protocol::Request request;
    request.user = "daemon";
    request.id = Draw(8) == 0 ? AnyAttempt() : client->attempt;
    // Sends mostly the requests of one submission in order, otherwise any request.
    static constexpr std::uint64_t kInOrder[] = {0, 37, 60};
    const std::uint64_t kind = Draw(3) == 0 ? Draw(100) : kInOrder[client->next++ % 3];
    if (kind < 30) {
      Submit(&request, client);
    } else if (kind < 37) {
      request.type = RequestType::kJobScript;
      request.script = std::string(Draw(10) == 0 ? 250 : 20, 'x');
    } else if (kind < 60) {
      request.type = RequestType::kReadyToCommit;
    } else if (kind < 78) {
      request.type = RequestType::kCommit;
    } else if (kind < 82) {
      request.type = RequestType::kDeleteJob;
    } else if (kind < 85) {
      request.type = RequestType::kSignalJob;
      request.signal = Draw(2) == 0 ? "SIGTERM" : "SIGUSR1";
    } else if (kind < 87) {
      request.type = RequestType::kSelectJobs;
      Set(&request, "key", "", "user-0\nkey-" + std::to_string(Draw(4)));
    } else if (kind < 93) {
      request.type = RequestType::kStatusJob;
      if (Draw(2) == 0) request.id.clear();
      if (Draw(2) == 0) Set(&request, "server", "", "daemon-" + std::to_string(Draw(2)));
      if (Draw(2) == 0) Set(&request, "report_to", "", "127.0.0.1:7");
    } else if (kind < 96) {
      request.type = RequestType::kStatusServer;
    } else if (kind < 98) {
      request.type = RequestType::kConnect;
    } else {
      request.type = Draw(2) == 0 ? RequestType::kDisconnect : RequestType::kHoldJob;
    }
    return request;
  }
  void SendRequest(std::size_t id) {
    std::string bytes;
    pbs_protocol::Encode(NewRequest(&clients_[id]), &bytes);
    if (Draw(120) == 0) bytes = "broken";
    const std::size_t cut = Draw(2) == 0 ? bytes.size() : Draw(bytes.size());
    server_->Receive(now_, id, std::string_view(bytes).substr(0, cut));
    server_->Receive(now_, id, std::string_view(bytes).substr(cut));
  }
  void Step() {
    now_ += Draw(4) == 0 ? Draw(60 * kMs) : Draw(6 * kMs);
    const std::size_t id = Draw(kSessions);
    Client& client = clients_[id];
    if (!client.open) {
      client = Client{true, "", "", 0};
      server_->Open(id);
    }
    const std::uint64_t kind = Draw(100);
    if (kind < 75) {
      SendRequest(id);
    } else if (kind == 75) {
      CloseSession(id);
    } else if (kind == 76) {
      server_->node().SetDraining(now_, Draw(3) == 0);
    } else if (kind == 77) {
      server_->SetFailingQueue(Draw(3) == 0 ? "unsafe" : "");
    } else if (kind < 80 && exec_) {
      server_->node().HandleExit(now_, AnyAttempt(), static_cast<int>(Draw(3)));
    } else {
      server_->Tick(now_);
    }
    server_->Dispatch(now_);
    Collect();
  }
  void CloseSession(std::size_t id) {
    server_->Close(now_, id);
    clients_[id] = Client{};
  }
  void Collect() {
    for (const auto id : server_->TakeConnectionsWithOutput()) {
      std::string* output = server_->OutputOf(id);
      digest_->Add(id);
      if (output == nullptr) continue;
      digest_->Add(std::string_view(*output));
      clients_[id].replies += std::exchange(*output, {});
      CountReplies(&clients_[id].replies);
    }
    for (std::size_t id = 0; id < kSessions; ++id) {
      const bool closes = server_->WantsClose(id);
      digest_->Add(closes);
      if (closes && clients_[id].open) CloseSession(id);
    }
    for (const auto& order : server_->TakeProcessOrders()) {
      digest_->Add(std::string_view(order.attempt));
      digest_->Add(std::string_view(order.signal));
      digest_->Add(server_->FindTask(order.attempt) != nullptr);
      ++orders_;
    }
    CollectReports();
    if (const auto failure = server_->TakeOverloadFailure()) {
      digest_->Add(std::string_view(*failure));
      ++overloads_;
    }
    digest_->Add(server_->NextTimer());
  }
  void CollectReports() {
    for (const std::string& daemon : server_->reports().ServersWithReports()) {
      digest_->Add(std::string_view(daemon));
      digest_->Add(std::string_view(server_->reports().AddressOf(daemon)));
      const auto& reports = server_->reports().ReportsFor(daemon);
      for (const auto& report : reports) {  // each time all pending reports, because lost ones are sent again
        digest_->Add(std::string_view(report.attempt));
        digest_->Add(std::string_view(report.bytes));
      }
      if (Draw(600) != 0) continue;
      const std::size_t count = Draw(reports.size() + 1);
      acknowledged_ += count;
      server_->reports().Acknowledge(daemon, count);
    }
  }
  void CountReplies(std::string* bytes) {
    pbs_protocol::Reply reply;
    for (;;) {
      const auto parsed = pbs_protocol::Decode(*bytes, &reply);
      if (parsed.state != pbs_protocol::DisState::kOk) return;
      ++codes_[static_cast<int>(reply.code)];
      bytes->erase(0, parsed.used);
      reply = {};
    }
  }

  std::mt19937_64 random_;
  Digest* digest_;
  bool exec_;
  Micros now_ = 1000 * kSecond;
  std::unique_ptr<node_agent::NodeServer> server_;
  std::array<Client, kSessions> clients_;
  std::uint64_t names_ = 0;
  std::size_t orders_ = 0, acknowledged_ = 0, overloads_ = 0;
  std::map<int, std::size_t> codes_;
};

TEST(NodeDigest, EachByteOfRecordedRunsOfANodesServerIsAsRecorded) {
  GoldenFile golden("node_server_digests.txt");
  std::size_t dropped = 0, orders = 0, acknowledged = 0, overloads = 0;
  std::map<int, std::size_t> codes;
  for (const auto& [name, config] : Variants()) {
    Digest digest;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      NodeConfig node = config;
      if (name == "fragile") node.min_overload_attempts = 1.0;
      RandomRequests requests(node, seed, &digest);
      requests.Run(6000);
      dropped += requests.dropped();
      orders += requests.orders();
      acknowledged += requests.acknowledged();
      overloads += requests.overloads();
      for (const auto& [code, count] : requests.codes()) codes[code] += count;
    }
    golden.Add(name, std::to_string(digest.Value()));
  }
  golden.Compare();
  EXPECT_GT(dropped, 20u);
  EXPECT_GT(orders, 20u);
  EXPECT_GT(acknowledged, 20u);
  EXPECT_GT(overloads, 0u);
  using pbs_protocol::Code;
  for (const Code code :
       {Code::kNone, Code::kUnknownRequest, Code::kProtocol, Code::kUnknownJob, Code::kBadValue,
        Code::kSystem, Code::kNotRunning, Code::kTooMany, Code::kInvalid, Code::kExists, Code::kNoRoom}) {
    EXPECT_GT(codes[static_cast<int>(code)], 0u) << static_cast<int>(code);
  }
}

}  // namespace
}  // namespace mountflow::testing
