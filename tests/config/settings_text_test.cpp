// Tests the conversion of the settings section to settings text.
#include "config/settings_text.hpp"

#include <gtest/gtest.h>

namespace mountflow::config {
namespace {

using nlohmann::json;

TEST(SettingsText, MembersAreJoinedByDotsAndItemsByCommas) {
  EXPECT_EQ(ToSettingsText(json{{"a", {{"b", {1, 2}}, {"c", true}}}}), "a.b=1,2\na.c=true\n");
}

TEST(SettingsText, AListOfObjectsHasItsCountAndNumbers) {
  const json list = {{"a", json::array({{{"b", 1}}, {{"b", 2}}})}};
  EXPECT_EQ(ToSettingsText(list), "a.count=2\na.0.b=1\na.1.b=2\n");
}

TEST(SettingsText, SeparatorsInsideOfAValueBecomeUnderscores) {
  EXPECT_EQ(ToSettingsText(json{{"a", "x y,z\n"}}), "a=x_y_z_\n");
}

TEST(SettingsText, NumbersAreWrittenWithAllTheirDigits) {
  EXPECT_EQ(ToSettingsText(json{{"a", 0.1}}), "a=0.10000000000000001\n");
}

}  // namespace
}  // namespace mountflow::config
