// Tests the exit status of `mountflowd --check`.
#include <gtest/gtest.h>

#include <fstream>

#include "tests/support/child_process.hpp"
#include "tests/support/temporary_folder.hpp"

namespace mountflow::testing {
namespace {

TEST(ConfigurationCheck, RejectsAFileWithAnInvalidValueAndAcceptsTheDefaults) {
  const TemporaryFolder folder;
  std::ofstream(folder.File("daemon.json")) << R"({"limits": {"jobs": "many"}} // not a number)";
  ASSERT_GT(std::filesystem::file_size(folder.File("daemon.json")), 0u);
  EXPECT_EQ(RunCommand({"mountflowd", "--check", "-c", folder.File("daemon.json")}).status, 1);
  EXPECT_EQ(RunCommand({"mountflowd", "--check"}).status, 0);
}

}  // namespace
}  // namespace mountflow::testing
