// mountflowd: the scheduler's daemon.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>

#include "daemon/daemon.hpp"
#include "platform/platform_server.hpp"

int main(int argc, char** argv) {
  CLI::App app{"mountflowd: places batch jobs on the nodes of a shared cluster"};
  std::string file, name, batch, http, list;
  bool check = false, show = false, measure = false, platform = false;
  app.add_option("-c,--config", file, "configuration, JSON with comments (default: embedded)");
  app.add_flag("--check", check, "check the configuration and stop; exit status 1 when it is not valid");
  app.add_flag("--show-defaults", show, "print the embedded configuration and stop");
  app.add_option("--name", name, "name of this daemon, over the configuration's");
  app.add_option("--batch", batch, "address of the batch port, over the configuration's");
  app.add_option("--http", http, "address of the HTTP port, over the configuration's");
  app.add_option("--list", list, "address of the node list, over the configuration's");
  std::string storage;
  app.add_option(
      "--storage", storage,
      "folder that keeps jobs over restarts, or none, over the configuration's (default: mountflow/NAME "
      "in the user's state folder)");
  app.add_flag("--measure", measure, "count the time of each part, printed at the end");
  app.add_flag(
      "--platform", platform,
      "serve the platform's protocol alone, as LB_CONFIG, LB_NAME and LB_LISTEN say (docs/platform.md)");
  std::string trace;
  app.add_option("--trace", trace, "with --platform: what the module is told and does goes to this file");
  CLI11_PARSE(app, argc, argv);
  if (platform) return mountflow::daemon::RunPlatform(trace);
  if (show) {
    std::puts(mountflow::config::kDefaultDaemon);
    return 0;
  }
  mountflow::config::Loaded loaded = mountflow::config::LoadDaemon(file);
  for (const std::string& error : loaded.errors) std::fprintf(stderr, "mountflowd: %s\n", error.c_str());
  if (!loaded.ok()) return 1;
  if (check) {
    std::printf("%s: valid\n", file.empty() ? "embedded defaults" : file.c_str());
    return 0;
  }
  mountflow::config::DaemonConfig& config = loaded.config;
  if (!name.empty()) {
    config.core.server = name;
    config.links.user = "mountflowd@" + name;
  }
  if (!batch.empty()) config.batch_address = batch;
  if (!http.empty()) config.http_address = http;
  if (!storage.empty()) config.storage_folder = storage;
  if (config.storage_folder.empty()) {
    config.storage_folder = mountflow::config::StateFolder(std::getenv("XDG_STATE_HOME"), std::getenv("HOME"),
                                                           config.core.server);
    std::error_code failed;
    if (!config.storage_folder.empty()) std::filesystem::create_directories(config.storage_folder, failed);
    if (config.storage_folder.empty() || failed) {
      std::fprintf(
          stderr,
          "mountflowd: no folder to keep jobs in%s%s: expected an absolute path in XDG_STATE_HOME or "
          "HOME, --storage FOLDER, or --storage none\n",
          failed ? ": " : "", failed ? (config.storage_folder + ": " + failed.message()).c_str() : "");
      return 1;
    }
  }
  if (config.storage_folder == "none") config.storage_folder.clear();
  config.core.durable = !config.storage_folder.empty();
  // A limit on the size of files is an error that is told and survived, not the end.
  signal(SIGXFSZ, SIG_IGN);
  if (!list.empty()) config.list.endpoints = {list};

  std::string error;
  auto log = mountflow::daemon::MakeLog(config.log_file, config.log_level, &error);
  if (!log) {
    std::fprintf(stderr, "mountflowd: log: %s\n", error.c_str());
    return 1;
  }
  mountflow::event_loop::EventLoop loop;
  mountflow::daemon::Daemon daemon(&loop, config, log);
  if (measure) daemon.MeasureParts();
  if (!daemon.Start(&error)) {
    std::fprintf(stderr, "mountflowd: %s\n", error.c_str());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&daemon] { daemon.Stop(); });
  loop.OnSignal(SIGINT, [&daemon] { daemon.Stop(); });
  loop.OnSignal(SIGHUP, [&daemon] { daemon.Reload(); });
  std::printf("mountflowd %s ready: batch %d, http %d\n", config.core.server.c_str(), daemon.batch_port(),
              daemon.http_port());
  std::printf("state: %s\n",
              config.storage_folder.empty() ? "none, in memory only" : config.storage_folder.c_str());
  std::fflush(stdout);
  // CPU by part, a line a second: what the load tool's --cpu reads.
  std::function<void()> tell = [&] {
    const mountflow::daemon::Spent s = daemon.spent();
    const auto us = [](std::uint64_t ns) { return static_cast<double>(ns) / 1e3; };
    // The front calls the core, and both the module; each part is without those it calls where that is known.
    std::printf(
        "{\"at_us\":%llu,\"cpu_us\":{\"module\":%.0f,\"front and core\":%.0f,\"links\":%.0f,\"rest and "
        "kernel\":%.0f}}\n",
        static_cast<unsigned long long>(loop.Now()), us(s.module), us(s.front + s.core - s.module),
        us(s.links), us(s.total - s.front - s.core - s.links));
    std::fflush(stdout);
    loop.AddTimer(loop.Now() + 1'000'000, tell);
  };
  if (measure) tell();
  loop.Run();
  if (measure) {
    const mountflow::daemon::Spent s = daemon.spent();
    std::printf("cpu_ns front %llu links %llu core %llu module %llu total %llu\n",
                static_cast<unsigned long long>(s.front), static_cast<unsigned long long>(s.links),
                static_cast<unsigned long long>(s.core), static_cast<unsigned long long>(s.module),
                static_cast<unsigned long long>(s.total));
  }
  return 0;
}
