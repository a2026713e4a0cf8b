// A search for races: runs the platform's classes in a simulation with random faults and checks the
// invariants. A failure prints its seed.
//   MOUNTFLOW_SEED=N platform_search_test     runs seed N only
//   MOUNTFLOW_SEEDS=N platform_search_test    runs the seeds from 1 to N
#include <cstdio>
#include <cstdlib>

#include "tests/support/platform_world.hpp"

namespace mountflow::testing {
namespace {

// The test also compares a digest of all bytes that the schedulers send with twelve seeds. A change of names
// or structure must not change the digest. A commit that changes the sent bytes updates it and states the
// reason.
TEST(PlatformSearch, KeepsTheInvariantsUnderEverySeed) {
  constexpr std::uint64_t kRecorded = 16996057471700917851u;
  Digest sent;
  const char* only_seed = std::getenv("MOUNTFLOW_SEED");
  const char* last_seed = std::getenv("MOUNTFLOW_SEEDS");
  std::uint64_t first = 1;
  std::uint64_t last = 12;
  if (only_seed != nullptr) {
    first = last = std::strtoull(only_seed, nullptr, 10);
  } else if (last_seed != nullptr) {
    last = std::strtoull(last_seed, nullptr, 10);
  }
  std::size_t requested = 0;
  std::size_t started = 0;
  std::size_t restarts = 0;
  std::size_t clients_left = 0;
  std::size_t nodes_replaced = 0;
  std::size_t sent_to_warming_up = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    PlatformWorld world(seed, 2 + seed % 3);
    world.Run(15 * kSec);
    for (const std::string& violation : world.CheckInvariantsOfAll()) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    sent.Add(world.digest.Value());
    requested += world.requested;
    started += world.started;
    restarts += world.restarts;
    clients_left += world.clients_left;
    nodes_replaced += world.nodes_replaced;
    sent_to_warming_up += world.sent_to_warming_up;
  }
  std::printf(
      "requested %zu, started %zu, restarts %zu, clients left %zu, nodes replaced %zu, attempts at nodes "
      "that warm "
      "up %zu\n",
      requested, started, restarts, clients_left, nodes_replaced, sent_to_warming_up);
  if (only_seed != nullptr || last_seed != nullptr) return;
  EXPECT_EQ(sent.Value(), kRecorded);
  EXPECT_GT(started * 2, requested);
  EXPECT_GT(restarts, 3u);
  EXPECT_GT(clients_left, 20u);
  EXPECT_GT(nodes_replaced, 10u);
  EXPECT_GT(sent_to_warming_up, 20u);
}

}  // namespace
}  // namespace mountflow::testing
