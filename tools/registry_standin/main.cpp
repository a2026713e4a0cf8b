// mountflow-registry-standin: a fake of the registry that holds the node list, with Consul's HTTP interface
// or etcd's JSON gateway.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <memory>

#include "tools/registry_standin/registry_server.hpp"

namespace {

using namespace mountflow;

constexpr double kMicrosPerSecond = 1e6;

struct CommandLine {
  std::string listen = "127.0.0.1:8500";
  double delay_seconds = 0.0;
  bool is_etcd = false;
  tls::Options tls;
};

void AddOptions(CLI::App* app, CommandLine* options) {
  app->add_option("--listen", options->listen, "address");
  app->add_option("--delay", options->delay_seconds, "seconds until readers see a change")
      ->check(CLI::Range(0.0, 3600.0));
  app->add_flag("--etcd", options->is_etcd,
                "by etcd's version 3 JSON gateway in place of Consul's interface (no delay)");
  app->add_option("--tls-certificate", options->tls.certificate,
                  "PEM file: by TLS alone, with this certificate");
  app->add_option("--tls-key", options->tls.key, "PEM file: its key");
  app->add_option("--tls-ca", options->tls.ca, "PEM file: clients must show a certificate by this CA");
}

std::unique_ptr<registry_standin::RegistryBackend> MakeBackend(const CommandLine& options) {
  if (options.is_etcd) return std::make_unique<registry_standin::EtcdBackend>();
  const auto delay = static_cast<Micros>(options.delay_seconds * kMicrosPerSecond);
  return std::make_unique<registry_standin::ConsulBackend>(delay);
}

}  // namespace

// An exception that reaches main() means that memory ran out or that the program has a bug. Both must end it.
// NOLINTNEXTLINE(bugprone-exception-escape): see above
int main(int argc, char** argv) {
  CLI::App app{
      "mountflow-registry-standin: a stand-in node list, by Consul's published key-value HTTP interface or "
      "etcd's JSON gateway"};
  CommandLine options;
  AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  event_loop::EventLoop loop;
  registry_standin::RegistryServer server(&loop, MakeBackend(options));
  const auto started = server.Start(options.listen, options.tls);
  if (!started) {
    std::fprintf(stderr, "mountflow-registry-standin: %s\n",
                 registry_standin::Describe(started.error()).c_str());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  // Scripts and tests read the port from this line, so it still contains the program's former name.
  std::printf("mountflow-list ready: %d\n", server.port());
  std::fflush(stdout);
  loop.Run();
  return 0;
}
