// mountflowd: the scheduler daemon.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "config/config.hpp"
#include "daemon/cpu_profile.hpp"
#include "daemon/daemon.hpp"
#include "daemon/event_log.hpp"
#include "event_loop/event_loop.hpp"
#include "platform/platform_server.hpp"

namespace mountflow::daemon {
namespace {

constexpr Micros kCpuReportInterval = 1'000'000;

// Command line options.
struct Options {
  std::string config_file;  // empty: the embedded configuration
  bool check_only = false;
  bool show_defaults = false;
  bool measure = false;
  bool platform = false;
  std::string platform_trace_file;
  // These override the configuration unless they are empty.
  std::string name;
  std::string batch_address;
  std::string http_address;
  std::string node_list_address;
  std::string storage_folder;
};

void AddOptions(CLI::App* app, Options* options) {
  app->add_option("-c,--config", options->config_file,
                  "configuration, JSON with comments (default: embedded)");
  app->add_flag("--check", options->check_only,
                "check the configuration and stop; exit status 1 when it is not valid");
  app->add_flag("--show-defaults", options->show_defaults, "print the embedded configuration and stop");
  app->add_option("--name", options->name, "name of this daemon, over the configuration's");
  app->add_option("--batch", options->batch_address, "address of the batch port, over the configuration's");
  app->add_option("--http", options->http_address, "address of the HTTP port, over the configuration's");
  app->add_option("--list", options->node_list_address, "address of the node list, over the configuration's");
  app->add_option(
      "--storage", options->storage_folder,
      "folder that keeps jobs over restarts, or none, over the configuration's (default: mountflow/NAME "
      "in the user's state folder)");
  app->add_flag("--measure", options->measure, "count the time of each part, printed at the end");
  app->add_flag(
      "--platform", options->platform,
      "serve the platform's protocol alone, as LB_CONFIG, LB_NAME and LB_LISTEN say (docs/platform.md)");
  app->add_option("--trace", options->platform_trace_file,
                  "with --platform: the scheduler's events and actions go to this file");
}

void ApplyOverrides(const Options& options, config::DaemonConfig* config) {
  if (!options.name.empty()) config::SetDaemonName(options.name, config);
  if (!options.batch_address.empty()) config->listen.batch_address = options.batch_address;
  if (!options.http_address.empty()) config->listen.http_address = options.http_address;
  if (!options.storage_folder.empty()) config->storage.folder = options.storage_folder;
  if (!options.node_list_address.empty()) config->node_list.endpoints = {options.node_list_address};
}

// Creates the default storage folder if none is configured. Returns false if that is not possible; the reason
// is printed.
bool PrepareStorageFolder(config::DaemonConfig* config) {
  if (config->storage.folder.empty()) {
    config->storage.folder =
        config::StateFolder(std::getenv("XDG_STATE_HOME"), std::getenv("HOME"), config->job_manager.server);
    std::error_code failure;
    if (!config->storage.folder.empty()) {
      std::filesystem::create_directories(config->storage.folder, failure);
    }
    if (config->storage.folder.empty() || failure) {
      const std::string reason = failure ? ": " + config->storage.folder + ": " + failure.message() : "";
      std::fprintf(stderr,
                   "mountflowd: no folder to keep jobs in%s: expected an absolute path in XDG_STATE_HOME or "
                   "HOME, --storage FOLDER, or --storage none\n",
                   reason.c_str());
      return false;
    }
  }
  if (config->storage.folder == config::kNoStorageFolder) config->storage.folder.clear();
  config->job_manager.durable = !config->storage.folder.empty();
  return true;
}

// Prints one line per second, which the load generator reads with --cpu.
void PrintCpuLine(Micros now, const CpuTimes& times) {
  const auto microseconds = [](std::uint64_t nanoseconds) { return static_cast<double>(nanoseconds) / 1e3; };
  // The PBS server calls the job manager, and both call the scheduler. Each component is printed without the
  // time of the components that it calls, where that time is known.
  std::printf(
      "{\"at_us\":%llu,\"cpu_us\":{\"module\":%.0f,\"front and core\":%.0f,\"links\":%.0f,\"rest and "
      "kernel\":%.0f}}\n",
      static_cast<unsigned long long>(now), microseconds(times.scheduler),
      microseconds(times.pbs_server + times.job_manager - times.scheduler), microseconds(times.node_sessions),
      microseconds(times.process - times.pbs_server - times.job_manager - times.node_sessions));
  std::fflush(stdout);
}

void PrintCpuTotals(const CpuTimes& times) {
  std::printf(
      "cpu_ns front %llu links %llu core %llu module %llu total %llu\n",
      static_cast<unsigned long long>(times.pbs_server), static_cast<unsigned long long>(times.node_sessions),
      static_cast<unsigned long long>(times.job_manager), static_cast<unsigned long long>(times.scheduler),
      static_cast<unsigned long long>(times.process));
}

// Prints the ports and the storage folder. Scripts wait for these lines and read the ports.
void PrintReady(const config::DaemonConfig& config, const Daemon& daemon) {
  std::printf("mountflowd %s ready: batch %d, http %d\n", config.job_manager.server.c_str(),
              daemon.batch_port(), daemon.http_port());
  std::printf("state: %s\n",
              config.storage.folder.empty() ? "none, in memory only" : config.storage.folder.c_str());
  std::fflush(stdout);
}

int Fail(const DaemonError& error) {
  std::fprintf(stderr, "mountflowd: %s\n", Describe(error).c_str());
  return 1;
}

int RunDaemon(const config::DaemonConfig& config, bool measure) {
  auto logger = OpenLog(config.log.file, config.log.level);
  if (!logger) return Fail(logger.error());
  event_loop::EventLoop loop;
  Daemon daemon(&loop, config, *logger);
  if (measure) daemon.EnableCpuProfile();
  const DaemonStatus started = daemon.Start();
  if (!started) return Fail(started.error());
  loop.OnSignal(SIGTERM, [&daemon] { daemon.Stop(); });
  loop.OnSignal(SIGINT, [&daemon] { daemon.Stop(); });
  loop.OnSignal(SIGHUP, [&daemon] { daemon.ReloadKeys(); });
  PrintReady(config, daemon);
  std::function<void()> report_cpu = [&] {
    PrintCpuLine(loop.Now(), daemon.cpu_times());
    loop.AddTimer(loop.Now() + kCpuReportInterval, report_cpu);
  };
  if (measure) report_cpu();
  loop.Run();
  if (measure) PrintCpuTotals(daemon.cpu_times());
  return 0;
}

int LoadAndRun(const Options& options) {
  config::DaemonConfigResult config = config::LoadDaemon(options.config_file);
  if (!config) {
    for (const std::string& line : config::DescribeEach(config.error())) {
      std::fprintf(stderr, "mountflowd: %s\n", line.c_str());
    }
    return 1;
  }
  if (options.check_only) {
    const char* source = options.config_file.empty() ? "embedded defaults" : options.config_file.c_str();
    std::printf("%s: valid\n", source);
    return 0;
  }
  ApplyOverrides(options, &*config);
  if (!PrepareStorageFolder(&*config)) return 1;
  // Ignoring SIGXFSZ turns a write beyond the file size limit into an error of that write, which the storage
  // code reports and retries.
  signal(SIGXFSZ, SIG_IGN);
  return RunDaemon(*config, options.measure);
}

}  // namespace
}  // namespace mountflow::daemon

// An exception that reaches main is a bug; std::terminate then ends the process and prints its message.
// NOLINTNEXTLINE(bugprone-exception-escape): see above
int main(int argc, char** argv) {
  CLI::App app{"mountflowd: places batch jobs on the nodes of a shared cluster"};
  mountflow::daemon::Options options;
  mountflow::daemon::AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  if (options.platform) return mountflow::daemon::RunPlatform(options.platform_trace_file);
  if (options.show_defaults) {
    std::puts(mountflow::config::kDefaultDaemon);
    return 0;
  }
  return mountflow::daemon::LoadAndRun(options);
}
