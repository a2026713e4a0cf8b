#include "tools/chaos/runner.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "tools/chaos/cluster.hpp"
#include "tools/chaos/event_recorder.hpp"
#include "tools/chaos/fault_injector.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/workload.hpp"

namespace mountflow::chaos {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStartTimeout = 20 * kSecond;  // time until all programs must be ready
constexpr Micros kDrainCheckInterval = 50'000;
constexpr Micros kEndMargin = 3 * kSecond;  // added to the longest time that a client waits
constexpr mode_t kFolderMode = 0755;

Micros ToMicros(double seconds) { return static_cast<Micros>(seconds * kMicrosPerSecond); }

// Runs one scenario: starts the cluster, starts workload and faults when the cluster is ready, and ends when
// the last jobs are answered.
class Runner {
 public:
  Runner(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        events_(&loop_, &log_, options.quiet),
        context_{&scenario_, &options_, &loop_, &log_, &events_},
        cluster_(
            context_, [this] { Begin(); }, [this](const RunError& error) { Fail(error); }) {}

  tl::expected<RunResult, RunError> Run() {
    mkdir(options_.folder.c_str(), kFolderMode);
    result_.message_log = options_.folder + "/record.jsonl";
    if (const auto opened = log_.Open(result_.message_log); !opened) {
      return tl::unexpected(RunError{RunError::Code::kMessageLog, "", Describe(opened.error())});
    }
    if (auto started = cluster_.Start(); !started) return tl::unexpected(std::move(started.error()));
    loop_.AddTimer(loop_.Now() + kStartTimeout, [this] {
      if (!workload_) Fail({RunError::Code::kNotReady, "", ""});
    });
    loop_.Run();
    cluster_.KillAll();
    log_.Flush();
    if (error_) return tl::unexpected(std::move(*error_));
    return std::move(result_);
  }

 private:
  // Stops the run. Only the first error is reported, because later ones usually follow from it.
  void Fail(const RunError& error) {
    if (!error_) error_ = error;
    loop_.Stop();
  }

  void Begin() {
    events_.BeginPrinting();
    const Micros begin = loop_.Now();
    const Micros workload_end = begin + ToMicros(scenario_.duration_seconds);
    cluster_.DelayNodeLists(scenario_.node_list_delay_seconds);
    const std::map<std::string, Micros> limits = HardLimits(scenario_);
    std::vector<std::string> addresses;
    for (const ClusterDaemon& daemon : cluster_.daemons()) {
      addresses.push_back(daemon.client_proxy->address());
    }
    workload_ = std::make_unique<Workload>(&loop_, &log_, addresses, limits, scenario_.seed * 31 + 7);
    fault_injector_ = std::make_unique<FaultInjector>(context_, &cluster_, workload_.get());
    events_.Record("begin");
    workload_->Start(scenario_.workloads, workload_end);
    for (const Fault& fault : scenario_.faults) {
      loop_.AddTimer(begin + ToMicros(fault.start_seconds),
                     [this, fault] { fault_injector_->Inject(fault); });
    }
    Micros longest_limit = 0;
    for (const auto& [queue, limit] : limits) longest_limit = std::max(longest_limit, limit);
    latest_end_ = workload_end + longest_limit + kEndMargin;
    loop_.AddTimer(workload_end, [this] { FinishWhenAnswered(); });
  }

  // Ends the run when all jobs are answered or `latest_end_` is reached; checks again later otherwise.
  void FinishWhenAnswered() {
    if (workload_->open_jobs() > 0 && loop_.Now() < latest_end_) {
      loop_.AddTimer(loop_.Now() + kDrainCheckInterval, [this] { FinishWhenAnswered(); });
      return;
    }
    events_.Record("end");
    json answers = json::object();
    for (const auto& [name, count] : workload_->answers()) answers[name] = count;
    result_.summary = "clients: " + std::to_string(workload_->submitted()) + " jobs, " + answers.dump() +
                      "; " + std::to_string(log_.lines()) + " lines of record";
    loop_.Stop();
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  event_loop::EventLoop loop_;
  MessageLogWriter log_;
  EventRecorder events_;
  ClusterContext context_;
  Cluster cluster_;
  std::unique_ptr<Workload> workload_;
  std::unique_ptr<FaultInjector> fault_injector_;
  Micros latest_end_ = 0;
  RunResult result_;
  std::optional<RunError> error_;
};

}  // namespace

tl::expected<RunResult, RunError> RunScenario(const Scenario& scenario, const RunOptions& options) {
  return Runner(scenario, options).Run();
}

}  // namespace mountflow::chaos
