// Fixture for tests of a deployment of real programs on loopback, whose nodes are fakes or programs.
#ifndef MOUNTFLOW_TESTS_SUPPORT_DAEMON_PROCESS_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_DAEMON_PROCESS_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <initializer_list>

#include "tests/support/daemon_site.hpp"
#include "tests/support/fake_batch_node.hpp"

namespace mountflow::testing {

class DaemonProcessTest : public ::testing::Test {
 protected:
  // Starts a daemon and waits until it knows these nodes.
  RunningDaemon StartWithNodes(std::initializer_list<const FakeBatchNode*> nodes) {
    for (const FakeBatchNode* node : nodes) site.Publish(node->Entry());
    RunningDaemon daemon = site.StartDaemon("d0");
    DaemonSite::WaitForNodeCount(daemon, nodes.size());
    return daemon;
  }

  DaemonSite site;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_DAEMON_PROCESS_FIXTURE_HPP_
