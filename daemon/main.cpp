// mountflowd: the scheduler's daemon.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <functional>

#include "daemon/daemon.hpp"

int main(int argc, char** argv) {
  CLI::App app{"mountflowd: places batch jobs on the nodes of a shared cluster"};
  std::string file, name, batch, http, list;
  bool check = false, show = false, measure = false;
  app.add_option("-c,--config", file, "configuration, JSON with comments (default: embedded)");
  app.add_flag("--check", check, "check the configuration and stop; exit status 1 when it is not valid");
  app.add_flag("--show-defaults", show, "print the embedded configuration and stop");
  app.add_option("--name", name, "name of this daemon, over the configuration's");
  app.add_option("--batch", batch, "address of the batch port, over the configuration's");
  app.add_option("--http", http, "address of the HTTP port, over the configuration's");
  app.add_option("--list", list, "address of the node list, over the configuration's");
  std::string storage;
  app.add_option("--storage", storage, "folder that keeps jobs over restarts, over the configuration's");
  app.add_flag("--measure", measure, "count the time of each part, printed at the end");
  CLI11_PARSE(app, argc, argv);
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
  if (!storage.empty()) config.storage_folder = storage, config.core.durable = true;
  // A limit on the size of files is an error that is told and survived, not the end.
  signal(SIGXFSZ, SIG_IGN);
  if (!list.empty()) config.list.endpoints = {list};

  std::string error;
  auto log = mountflow::daemon::MakeLog(config.log_file, config.log_level, &error);
  if (!log) {
    std::fprintf(stderr, "mountflowd: log: %s\n", error.c_str());
    return 1;
  }
  mountflow::net::Loop loop;
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
    loop.At(loop.Now() + 1'000'000, tell);
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
