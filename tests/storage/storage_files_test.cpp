// Tests of storage::PosixFiles: a log in a real directory, the lock of the directory, and errors.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "storage/files.hpp"
#include "storage/log.hpp"
#include "tests/support/log_workload.hpp"
#include "tests/support/storage_checks.hpp"

namespace mountflow::testing {
namespace {

using storage::Log;
using storage::PosixFiles;
using storage::StorageErrorCode;

TEST(PosixFiles, StoreALogAndAreLockedByOneProcess) {
  const std::string directory = ::testing::TempDir() + "/mountflow-files-" + std::to_string(::getpid());
  {
    const auto files = PosixFiles::Open(directory);
    ASSERT_TRUE(Succeeded(files));
    Log log(files->get(), SmallLogOptions());
    LogState state;
    std::uint64_t durable = 0;
    ASSERT_TRUE(Succeeded(state.Open(&log)));
    RunWorkload(&log, &state, &durable);
    const auto second = PosixFiles::Open(directory);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code, StorageErrorCode::kLocked);
    EXPECT_NE(ErrorText(second).find("another process holds it"), std::string::npos) << ErrorText(second);
  }
  auto files = PosixFiles::Open(directory);
  ASSERT_TRUE(Succeeded(files));
  Log log(files->get(), SmallLogOptions());
  LogState state;
  ASSERT_TRUE(Succeeded(state.Open(&log)));
  state.ExpectPrefixOfAtLeast(kWorkloadRecords);
  const auto missing = (*files)->Read("none");
  EXPECT_FALSE(missing);
  EXPECT_NE(ErrorText(missing).find(directory + "/none: open: No such file"), std::string::npos)
      << ErrorText(missing);
  files->reset();
  std::filesystem::remove_all(directory);
}

TEST(PosixFiles, ReportASystemErrorWithItsCode) {
  const auto files = PosixFiles::Open(::testing::TempDir() + "/mountflow-no-such-parent/directory");
  ASSERT_FALSE(files);
  EXPECT_EQ(files.error().code, StorageErrorCode::kSystem);
  EXPECT_EQ(files.error().system, std::errc::no_such_file_or_directory);
  EXPECT_EQ(files.error().operation, "mkdir");
}

}  // namespace
}  // namespace mountflow::testing
