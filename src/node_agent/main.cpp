// mountflow-node: hosts one node, or many nodes for a chaos test.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <optional>

#include "node_agent/host_file.hpp"
#include "node_agent/node_host.hpp"

namespace mountflow::node_agent {
namespace {

constexpr double kMaxLeaseSeconds = 3600.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr unsigned kMaxConcurrentRealStarts = 64;

struct Arguments {
  std::string host_file;  // empty: one node, described by the other options
  NodeHostOptions options;
  HostedNodeConfig node;
  double lease_seconds = 0.0;
};

void AddOptions(CLI::App* app, Arguments* arguments) {
  NodeHostOptions& options = arguments->options;
  NodeConfig& config = arguments->node.config;
  app->add_option("--nodes", arguments->host_file,
                  "file that describes one or more nodes, JSON with comments");
  app->add_option("--name", config.name, "name of the node");
  app->add_option("--listen", arguments->node.listen_address, "address of its batch port");
  app->add_option("--advertise", arguments->node.advertised_address, "address published in the node list");
  app->add_option("--list", options.node_list_address, "address of the node list");
  app->add_option("--control", options.control_address, "address of the control port, for chaos tests");
  app->add_option("--kind", config.kind, "kind of the node");
  app->add_option("--rack", config.rack, "its rack");
  app->add_option("--room", config.zone, "its room");
  app->add_option("--cores", config.cores, "cores");
  app->add_option("--memory", config.memory, "memory in units (GiB)");
  app->add_flag("--exec", config.executes_tasks, "run scripts as processes under sh, as the invoking user");
  app->add_option("--lease", arguments->lease_seconds,
                  "seconds that the entry outlives the node; 0: a plain entry")
      ->check(CLI::Range(0.0, kMaxLeaseSeconds));
  app->add_flag("--etcd", options.uses_etcd, "the list is etcd (needs --lease)");
}

// Returns the host to run. After errors, writes them to standard error and returns nullopt.
std::optional<HostFile> ReadHost(Arguments arguments) {
  arguments.options.lease = static_cast<Micros>(arguments.lease_seconds * kMicrosPerSecond);
  if (!arguments.host_file.empty()) {
    auto host = ReadHostFile(arguments.host_file, arguments.options);
    if (host) return std::move(*host);
    for (const config::ConfigError& error : host.error()) {
      std::fprintf(stderr, "mountflow-node: %s\n", Describe(error).c_str());
    }
    return std::nullopt;
  }
  if (arguments.options.uses_etcd && arguments.options.lease == 0) {
    std::fprintf(stderr, "mountflow-node: --etcd: expected --lease as well\n");
    return std::nullopt;
  }
  NodeConfig& config = arguments.node.config;
  if (config.executes_tasks) {  // emulated delays would add to the real ones
    config.admission_time = 0;
    config.start_time = 0;
    config.max_concurrent_starts = kMaxConcurrentRealStarts;
  }
  return HostFile{arguments.options, {arguments.node}};
}

int Run(const HostFile& file) {
  event_loop::EventLoop loop;
  NodeHost host(&loop, file.options, file.nodes);
  if (const auto started = host.Start(); !started) {
    std::fprintf(stderr, "mountflow-node: %s\n", Describe(started.error()).c_str());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&host] { host.Stop(); });
  loop.OnSignal(SIGINT, [&host] { host.Stop(); });
  std::printf("mountflow-node ready: control %d", host.control_port());
  for (const HostedNodeConfig& node : file.nodes) {
    std::printf(" %s %d", node.config.name.c_str(), host.PortOf(node.config.name));
  }
  std::printf("\n");
  std::fflush(stdout);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace mountflow::node_agent

// An exception here is a fault. It ends the process by std::terminate, which prints its message.
// NOLINTNEXTLINE(bugprone-exception-escape): see above
int main(int argc, char** argv) {
  CLI::App app{"mountflow-node: runs the tasks of daemons, emulated or as processes"};
  mountflow::node_agent::Arguments arguments;
  AddOptions(&app, &arguments);
  CLI11_PARSE(app, argc, argv);
  const auto host = mountflow::node_agent::ReadHost(std::move(arguments));
  return host ? mountflow::node_agent::Run(*host) : 1;
}
