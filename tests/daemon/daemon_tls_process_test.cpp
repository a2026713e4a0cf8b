// Tests registry, nodes and daemons that communicate over TLS, each with its own certificate.
#include <fstream>

#include "tests/support/daemon_process_fixture.hpp"
#include "tests/support/tls_fixture.hpp"

namespace mountflow::testing {
namespace {

// A registry that requires client certificates issued by its CA, and nodes and daemons that use it. All files
// are in the CA's folder and named after the program.
class TlsSite {
 public:
  explicit TlsSite(const std::string& registry_kind) : registry_kind_(registry_kind) {
    ca_.Issue("registry", "DNS:registry.internal");
    std::vector<std::string> arguments = {"mountflow-registry-standin", "--listen", "127.0.0.1:0"};
    for (const auto& [option, file] : {std::pair("--tls-certificate", "registry.pem"),
                                       {"--tls-key", "registry.key"},
                                       {"--tls-ca", "ca.pem"}}) {
      arguments.insert(arguments.end(), {option, ca_.File(file)});
    }
    if (registry_kind == "etcd") arguments.push_back("--etcd");
    registry_ = std::make_unique<Process>(arguments);
    registry_address_ = "127.0.0.1:" + std::to_string(PortAfter(registry_->ReadLine(), "ready: "));
  }
  Authority& ca() { return ca_; }

  std::unique_ptr<Process> StartNode(const std::string& name) {
    ca_.Issue(name, "");
    std::ofstream(ca_.File(name + ".json"))
        << R"({"list": ")" << registry_address_ << R"(", "registry": ")" << registry_kind_
        << R"(", "lease_s": 5, "tls": )" << TlsSection(ca_, name) << R"(, "nodes": [{"name": ")" << name
        << R"("}]})";
    auto node = std::make_unique<Process>(
        std::vector<std::string>{"mountflow-node", "--nodes", ca_.File(name + ".json")});
    EXPECT_FALSE(node->ReadLine().empty());
    return node;
  }
  // Starts a daemon with a certificate issued by `issuer`, which may be a CA that the registry does not
  // trust.
  RunningDaemon StartDaemon(Authority* issuer, const std::string& name) {
    issuer->Issue(name, "");
    std::ofstream(ca_.File(name + ".json"))
        << R"({"name": ")" << name
        << R"(", "listen": {"batch": "127.0.0.1:0", "http": "127.0.0.1:0"}, "log": {"file": ")"
        << ca_.File(name + ".log") << R"("}, "list": {"kind": ")" << registry_kind_ << R"(", "address": ")"
        << registry_address_ << R"(", "tls": )" << TlsSection(*issuer, name)
        << R"(}, "storage": {"folder": ")" << ca_.File(name + ".jobs") << R"("}})";
    return DaemonSite::StartConfiguredDaemon(ca_.File(name + ".json"));
  }
  bool LogContains(const std::string& name, const std::string& text) const {
    return WaitForTextInFile(ca_.File(name + ".log"), text);
  }

 private:
  std::string TlsSection(const Authority& issuer, const std::string& name) const {
    return R"({"ca": ")" + ca_.ca() + R"(", "name": "registry.internal", "certificate": ")" +
           issuer.File(name + ".pem") + R"(", "key": ")" + issuer.File(name + ".key") + R"("})";
  }

  Authority ca_;
  std::string registry_kind_;
  std::unique_ptr<Process> registry_;
  std::string registry_address_;
};

TEST(DaemonTls, FollowsTheRegistryWhileKeysChangeAndRejectsAnUntrustedCertificate) {
  for (const std::string registry_kind : {"consul", "etcd"}) {
    TlsSite site(registry_kind);
    const auto first = site.StartNode("n");
    const auto daemon = site.StartDaemon(&site.ca(), "d0");
    DaemonSite::WaitForNodeCount(daemon, 1);
    site.ca().Issue("d0", "", -3600, 2 * kCertificateDay - 600);
    daemon.process->Signal(SIGHUP);
    EXPECT_TRUE(site.LogContains("d0", "keys loaded anew"));
    EXPECT_TRUE(site.LogContains("d0", "d0.pem ends in 47 hours"));
    const auto second = site.StartNode("m");
    DaemonSite::WaitForNodeCount(daemon, 2);
    const std::string status = CallHttp(daemon.http_port, "GET", "/v1/status").body;
    EXPECT_NE(status.find("\"breaks\":0"), std::string::npos) << status;  // the watch was not interrupted
    // A daemon whose certificate the registry does not trust receives no nodes and logs the reason.
    Authority other_ca("another CA");
    const auto stranger = site.StartDaemon(&other_ca, "stranger");
    EXPECT_TRUE(site.LogContains("stranger", "TLS: "));
    DaemonSite::WaitForNodeCount(stranger, 0);
    EXPECT_NE(CallHttp(stranger.http_port, "GET", "/v1/status").body.find("\"known\":false"),
              std::string::npos);
  }
}

}  // namespace
}  // namespace mountflow::testing
