// Tests the default folder for stored state, used if the configuration names none.
#include "config/state_folder.hpp"

#include <gtest/gtest.h>

namespace mountflow::config {
namespace {

TEST(StateFolder, IsTheUsersUnlessNoVariableIsAnAbsolutePath) {
  EXPECT_EQ(StateFolder("/s", "/home/u", "d0"), "/s/mountflow/d0");
  EXPECT_EQ(StateFolder(nullptr, "/home/u", "d0"), "/home/u/.local/state/mountflow/d0");
  EXPECT_EQ(StateFolder("relative", "/home/u", "d0"), "/home/u/.local/state/mountflow/d0");
  EXPECT_EQ(StateFolder("", nullptr, "d0"), "");
}

}  // namespace
}  // namespace mountflow::config
