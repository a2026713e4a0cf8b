// Assertions on storage results that print the error.
#ifndef MOUNTFLOW_TESTS_SUPPORT_STORAGE_CHECKS_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_STORAGE_CHECKS_HPP_

#include <gtest/gtest.h>

#include <string>

#include "storage/storage_error.hpp"

namespace mountflow::testing {

// Reports whether the result is a success; prints the error otherwise. Use it as
// ASSERT_TRUE(Succeeded(log.Commit(...))).
template <typename T>
::testing::AssertionResult Succeeded(const storage::StorageResult<T>& result) {
  if (result) return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure() << Describe(result.error());
}

// Returns the text of the error; empty on success.
template <typename T>
std::string ErrorText(const storage::StorageResult<T>& result) {
  return result ? "" : Describe(result.error());
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_STORAGE_CHECKS_HPP_
