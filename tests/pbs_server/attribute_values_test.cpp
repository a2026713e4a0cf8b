#include "pbs_server/attribute_values.hpp"

#include <gtest/gtest.h>

#include <string>

namespace mountflow::testing {
namespace {

using namespace pbs_server;

TEST(AttributeValues, SizesAreReadAsTheyWereWritten) {
  EXPECT_EQ(ParseSize("1.5gb"), 1.5 * 1073741824);
  EXPECT_EQ(ParseSize("2KW"), 2 * 8192.0);
  EXPECT_EQ(FormatSize(1536.0 * 1048576), "1536mb");
  EXPECT_EQ(ParseSize(FormatSize(1536.0 * 1048576)), 1536.0 * 1048576);
}

TEST(AttributeValues, TextThatIsNoSizeIsRejected) {
  EXPECT_FALSE(ParseSize(""));
  EXPECT_FALSE(ParseSize("gb"));
  EXPECT_FALSE(ParseSize("1e99"));
  EXPECT_FALSE(ParseSize("1 gb"));
  EXPECT_FALSE(ParseSize("9999999999tb"));
}

TEST(AttributeValues, DurationsAreReadAsTheyWereWritten) {
  for (const Micros duration : {Micros{0}, Micros{1'500'000}, Micros{3'661'000'001}}) {
    EXPECT_EQ(ParseDuration(FormatDuration(duration)), duration);
  }
  EXPECT_EQ(ParseDuration("1:02:03"), Micros{3'723'000'000});
  EXPECT_EQ(FormatDuration(3'661'000'001), "01:01:01.000001");
}

TEST(AttributeValues, TextThatIsNoDurationIsRejected) {
  for (const char* text : {"", "-5", "1e300", "1:", ":1", "1:2:3:4", "1:-2"}) {
    EXPECT_FALSE(ParseDuration(text)) << text;
  }
}

TEST(AttributeValues, NumbersAndCountsMustBeTheWholeText) {
  EXPECT_EQ(ParseNumber("-2.5"), -2.5);
  EXPECT_EQ(ParseCount("18446744073709551615"), UINT64_MAX);
  for (const char* text : {"", "inf", "nan", "1x", " 1"}) EXPECT_FALSE(ParseNumber(text)) << text;
  for (const char* text : {"", "-1", "1.5", "18446744073709551616"}) EXPECT_FALSE(ParseCount(text)) << text;
}

TEST(AttributeValues, KeysOfUsersDifferByUserAndKey) {
  EXPECT_EQ(FormatUserKey("thandi", "k"), "thandi\nk");  // stored by nodes: earlier versions have to find it
  EXPECT_NE(FormatUserKey("sipho", "thandi\nk"), FormatUserKey("thandi", "k"));
  EXPECT_TRUE(IsUserKey(FormatUserKey("", "k")));
  EXPECT_FALSE(IsUserKey("k"));
  EXPECT_FALSE(IsUserKey(""));
}

TEST(AttributeValues, LoadReportsAreReadAsTheyWereWritten) {
  LoadReport load;
  load.free_cores = -1.5, load.utilisation = 0.25;
  const LoadReport read = ParseLoad(FormatLoad(load));
  EXPECT_EQ(read.free_cores, load.free_cores);
  EXPECT_EQ(read.utilisation, load.utilisation);
  EXPECT_FALSE(read.queued);
  EXPECT_FALSE(ParseLoad("x0=abc x1 =").free_cores);
}

}  // namespace
}  // namespace mountflow::testing
