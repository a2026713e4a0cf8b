// Tests reading JSON with comments.
#include "config/json_text.hpp"

#include <gtest/gtest.h>

namespace mountflow::config {
namespace {

TEST(JsonText, AnErrorHasTheLineAndColumnAtWhichTheParserStopped) {
  const auto parsed = ParseJson("{\n  \"a\": }", "f.json");
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().code, ConfigErrorCode::kMalformedJson);
  EXPECT_EQ(parsed.error().file, "f.json");
  EXPECT_EQ(parsed.error().line, 2u);
  EXPECT_EQ(parsed.error().column, 8u);
  EXPECT_EQ(Describe(parsed.error()).rfind("f.json: line 2, column 8: expected JSON: ", 0), 0u);
}

TEST(JsonText, CommentsAreSkipped) {
  const auto parsed = ParseJson("{ // line\n /* block */ \"a\": 5}", "f.json");
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->at("a"), 5);
}

TEST(JsonText, AFileIsReadWholeOrNamedInTheError) {
  const auto missing = ReadFile("/no/such/file");
  ASSERT_FALSE(missing.has_value());
  EXPECT_EQ(missing.error().code, ConfigErrorCode::kUnreadableFile);
  EXPECT_EQ(missing.error().file, "/no/such/file");
  const auto null_device = ReadFile("/dev/null");
  ASSERT_TRUE(null_device.has_value());
  EXPECT_TRUE(null_device->empty());
}

}  // namespace
}  // namespace mountflow::config
