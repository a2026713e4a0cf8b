// Tests of the option and operand values of the batch commands.
#include "cli/option_values.hpp"

#include <gtest/gtest.h>

#include "cli/server_address.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow {
namespace {

TEST(OptionValues, AreParsedAsInPosix) {
  const auto seconds = cli::ParseDateTime("203012312359.30");
  ASSERT_TRUE(seconds);
  EXPECT_GT(*seconds, 1'924'900'000u);
  for (const char* bad :
       {"", "12", "1234567890123", "13320000", "0101240", "01012500", "0101000.5", "0101x000"}) {
    const auto malformed = cli::ParseDateTime(bad);
    ASSERT_FALSE(malformed) << bad;
    EXPECT_NE(cli::Describe(malformed.error()).find("[[CC]YY]MMDDhhmm"), std::string::npos);
  }
  pbs_protocol::Attributes list;
  EXPECT_TRUE(cli::AddResources("ncpus=2,mem=1gb", &list));
  EXPECT_EQ(pbs_protocol::ValueOf(list, "Resource_List", "mem"), "1gb");
  EXPECT_FALSE(cli::AddResources("ncpus", &list));
  EXPECT_TRUE(cli::AddAttributes("service=s,key=\"a,b\"", &list));
  EXPECT_EQ(pbs_protocol::ValueOf(list, "key"), "a,b");
  EXPECT_FALSE(cli::AddAttributes("service", &list));
  const auto reference = cli::ParseJobReference("12.d0@127.0.0.1:99");
  ASSERT_TRUE(reference);
  EXPECT_EQ(reference->id, "12.d0");
  EXPECT_EQ(reference->address, "127.0.0.1:99");
  EXPECT_FALSE(cli::ParseJobReference("d0.12"));
}

}  // namespace
}  // namespace mountflow
