// Tests of the saved node list.
#include "discovery/snapshot.hpp"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

namespace mountflow::discovery {
namespace {

TEST(Snapshot, IsDecodedOnlyWholeAndUnchanged) {
  Snapshot s;
  s.taken_at = 42;
  for (int i = 0; i < 3; ++i) {
    job_manager::ListedNode n;
    n.name = "n" + std::to_string(i), n.address = "127.0.0.1:1", n.started = 1'796'129'091'196'621;
    s.nodes.push_back(n);
  }
  const std::string bytes = EncodeSnapshot(s);
  const auto read = DecodeSnapshot(bytes);
  ASSERT_TRUE(read) << Describe(read.error());
  EXPECT_EQ(read->nodes.size(), 3u);
  EXPECT_EQ(read->nodes[2].started, s.nodes[2].started);
  EXPECT_EQ(read->taken_at, 42u);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_FALSE(DecodeSnapshot(bytes.substr(0, cut)));
    std::string changed = bytes;
    changed[cut] = static_cast<char>(changed[cut] ^ 1);
    const auto rejected = DecodeSnapshot(changed);
    ASSERT_FALSE(rejected) << cut;
    EXPECT_FALSE(Describe(rejected.error()).empty());
  }
}

TEST(Snapshot, IsWrittenToATemporaryFileAndRenamed) {
  char made[] = "/tmp/mountflow-view-XXXXXX";
  ASSERT_NE(mkdtemp(made), nullptr);
  const std::string file = std::string(made) + "/view";
  Snapshot s;
  EXPECT_FALSE(LoadSnapshot(file));
  for (Micros i = 1; i <= 3; ++i) {
    s.taken_at = i;
    const auto saved = SaveSnapshot(file, s);
    ASSERT_TRUE(saved) << Describe(saved.error());
    const auto read = LoadSnapshot(file);
    ASSERT_TRUE(read) << Describe(read.error());
    EXPECT_EQ(read->taken_at, i);
  }
  EXPECT_NE(access((file + ".new").c_str(), F_OK), 0);
  const auto failed = SaveSnapshot("/no/such/folder/view", s);
  ASSERT_FALSE(failed);
  EXPECT_EQ(Describe(failed.error()), "/no/such/folder/view.new: open: No such file or directory");
  unlink(file.c_str());
  rmdir(made);
}

}  // namespace
}  // namespace mountflow::discovery
