// Tests when the node list is saved, and which list is loaded at startup.
#include "daemon/node_list_file.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

class NodeListFileTest : public ::testing::Test {
 protected:
  NodeListFileTest()
      : log_(std::make_shared<spdlog::logger>("test",
                                              std::make_shared<spdlog::sinks::ostream_sink_st>(lines_))) {
    char directory[] = "/tmp/mountflow-list-XXXXXX";
    directory_ = mkdtemp(directory);
    name_ = directory_ + "/nodes";
    fixture_.List({JobManagerFixture::Node("a")});
  }
  ~NodeListFileTest() override {
    std::remove(name_.c_str());
    std::remove(directory_.c_str());
  }
  [[nodiscard]] bool Exists() const { return std::ifstream(name_).good(); }
  [[nodiscard]] bool Logged(const std::string& text) const {
    return lines_.str().find(text) != std::string::npos;
  }

  std::ostringstream lines_;
  daemon::EventLog log_;
  JobManagerFixture fixture_;
  std::string directory_;
  std::string name_;
};

TEST_F(NodeListFileTest, WithoutAFileNothingIsLoadedOrSaved) {
  daemon::NodeListFile file("", &log_);
  file.MarkChanged();
  file.SaveIfChanged(fixture_.now, fixture_.job_manager);
  EXPECT_FALSE(file.Load(fixture_.now).has_value());
  EXPECT_EQ(lines_.str(), "");
}

TEST_F(NodeListFileTest, UnchangedListIsNotSaved) {
  daemon::NodeListFile file(name_, &log_);
  file.SaveIfDue(fixture_.now, fixture_.job_manager);
  file.SaveIfChanged(fixture_.now, fixture_.job_manager);
  EXPECT_FALSE(Exists());
}

TEST_F(NodeListFileTest, ChangedListIsSavedAtMostOnceInTenSeconds) {
  daemon::NodeListFile file(name_, &log_);
  file.MarkChanged();
  file.SaveIfDue(fixture_.now, fixture_.job_manager);
  EXPECT_TRUE(Exists());
  std::remove(name_.c_str());
  file.MarkChanged();
  file.SaveIfDue(fixture_.now + 10 * kSecond - 1, fixture_.job_manager);
  EXPECT_FALSE(Exists());
  file.SaveIfDue(fixture_.now + 10 * kSecond, fixture_.job_manager);
  EXPECT_TRUE(Exists());
}

TEST_F(NodeListFileTest, ShutdownSavesAChangeWithoutDelay) {
  daemon::NodeListFile file(name_, &log_);
  file.MarkChanged();
  file.SaveIfDue(fixture_.now, fixture_.job_manager);
  std::remove(name_.c_str());
  file.MarkChanged();
  file.SaveIfChanged(fixture_.now + 1, fixture_.job_manager);
  EXPECT_TRUE(Exists());
}

TEST_F(NodeListFileTest, SavedListIsLoadedAsCached) {
  daemon::NodeListFile file(name_, &log_);
  file.MarkChanged();
  file.SaveIfChanged(fixture_.now, fixture_.job_manager);
  const auto loaded = file.Load(fixture_.now + 250 * kMs);
  ASSERT_TRUE(loaded.has_value());
  EXPECT_EQ(loaded->kind, NodeListKind::kCached);
  ASSERT_EQ(loaded->nodes.size(), 1u);
  EXPECT_EQ(loaded->nodes[0].name, "a");
  EXPECT_TRUE(Logged(R"({"age_ms":250,"event":"node_list_cache_loaded","nodes":1})")) << lines_.str();
}

TEST_F(NodeListFileTest, MissingOrDamagedFileIsLoggedAndNotLoaded) {
  const daemon::NodeListFile file(name_, &log_);
  EXPECT_FALSE(file.Load(fixture_.now).has_value());
  EXPECT_TRUE(Logged(R"({"event":"node_list_cache_not_loaded","text":")")) << lines_.str();
  std::ofstream(name_) << "mountflow-view 1 0 0\nx";
  EXPECT_FALSE(file.Load(fixture_.now).has_value());
}

TEST_F(NodeListFileTest, FailureToSaveIsLogged) {
  daemon::NodeListFile file(directory_ + "/missing/nodes", &log_);
  file.MarkChanged();
  file.SaveIfChanged(fixture_.now, fixture_.job_manager);
  EXPECT_TRUE(Logged(R"({"event":"node_list_cache_not_saved","text":")")) << lines_.str();
}

}  // namespace
}  // namespace mountflow::testing
