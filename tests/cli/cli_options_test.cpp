// Tests of the options and operands of the batch commands.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "cli/directives.hpp"
#include "cli/option_values.hpp"
#include "cli/qsub_options.hpp"
#include "cli/requests.hpp"
#include "cli/server_address.hpp"

namespace mountflow::cli {
namespace {

using Arguments = std::vector<std::string>;

// ---- Directives ----

TEST(ReadDirectives, SplitsWordsAsTheShellDoes) {
  const auto arguments = ReadDirectives("#PBS a\\ b 'c \\d' \"e \\\" f\" '' # comment\n#PBS g#h\n", "#PBS");
  ASSERT_TRUE(arguments);
  EXPECT_EQ(*arguments, (Arguments{"a b", "c \\d", "e \" f", "", "g#h"}));
}

TEST(ReadDirectives, ReportsCodeAndLineOfError) {
  const auto open_quote = ReadDirectives("\n#PBS 'a\n", "#PBS");
  ASSERT_FALSE(open_quote);
  EXPECT_EQ(open_quote.error().code, DirectiveErrorCode::kUnclosedQuote);
  EXPECT_EQ(Describe(open_quote.error()), "script line 2: expected a closing quote");
  const auto too_long = ReadDirectives("#PBS " + std::string(kMaxDirectiveLineBytes, 'x'), "#PBS");
  ASSERT_FALSE(too_long);
  EXPECT_EQ(Describe(too_long.error()), "script line 1: expected a directive of at most 8192 bytes");
  std::string many;
  for (std::size_t i = 0; i <= kMaxDirectives; ++i) many += "#PBS -h\n";
  const auto too_many = ReadDirectives(many, "#PBS");
  ASSERT_FALSE(too_many);
  EXPECT_EQ(too_many.error().code, DirectiveErrorCode::kTooManyDirectives);
  EXPECT_EQ(Describe(too_many.error()), "script line 1001: expected at most 1000 directives");
}

// ---- Options of qsub ----

TEST(QsubOptions, LaterArgumentsReplaceValuesAndAddToLists) {
  QsubOptions options;
  ASSERT_TRUE(MergeArguments({"-N", "first", "-l", "ncpus=1", "-p", "3", "-h", "-q", "late"}, &options));
  ASSERT_TRUE(MergeArguments({"-N", "second", "-l", "mem=1gb", "-N", "third", "-V"}, &options));
  EXPECT_EQ(options.name, "third");
  EXPECT_EQ(options.resources, (Arguments{"ncpus=1", "mem=1gb"}));
  EXPECT_EQ(options.priority, 3);
  EXPECT_EQ(options.destination, "late");
  EXPECT_TRUE(options.hold);
  EXPECT_TRUE(options.all_variables);
  EXPECT_FALSE(options.quiet);
}

TEST(QsubOptions, ReportsUnknownOptionsAndBadNumbers) {
  QsubOptions options;
  EXPECT_FALSE(MergeArguments({"-x", "1"}, &options));
  EXPECT_FALSE(MergeArguments({"-p", "high"}, &options));
  EXPECT_FALSE(options.priority);
}

// ---- Values ----

TEST(OptionValues, DescribesErrors) {
  EXPECT_EQ(Describe(OptionError{"-p", "", std::nullopt}), "illegal -p value");
  EXPECT_EQ(Describe(OptionError{"-l", "", "a.xx.3"}), "illegal -l value: a.xx.3");
  EXPECT_EQ(Describe(OptionError{"-j", "oe, eo or n", std::nullopt}),
            "illegal -j value: expected oe, eo or n");
  EXPECT_EQ(Describe(OptionError{"-l", "resource=value", "x"}),
            "illegal -l value: expected resource=value, got 'x'");
}

TEST(OptionValues, SetAttributeReplacesSameNameAndResource) {
  pbs_protocol::Attributes list;
  SetAttribute(&list, "Resource_List", "1", "ncpus");
  SetAttribute(&list, "Resource_List", "2", "mem");
  SetAttribute(&list, "Resource_List", "3", "ncpus");
  ASSERT_EQ(list.size(), 2u);
  EXPECT_EQ(pbs_protocol::ValueOf(list, "Resource_List", "ncpus"), "3");
}

TEST(OptionValues, AttributesKeepCommasWithinQuotes) {
  pbs_protocol::Attributes list;
  EXPECT_TRUE(AddAttributes("a='x,\"y',b=z", &list));
  EXPECT_EQ(pbs_protocol::ValueOf(list, "a"), "x,\"y");
  EXPECT_EQ(pbs_protocol::ValueOf(list, "b"), "z");
  const auto nameless = AddAttributes("a=1,=2", &list);
  ASSERT_FALSE(nameless);
  EXPECT_EQ(nameless.error().got, "=2");
}

TEST(OptionValues, ResourcesNeedNameAndValue) {
  for (const char* bad : {"ncpus", "ncpus=", "=1", "ncpus=1,", ""}) {
    pbs_protocol::Attributes list;
    EXPECT_FALSE(AddResources(bad, &list)) << bad;
  }
}

TEST(OptionValues, ShortDatesAreNotPast) {
  const auto now = static_cast<std::uint64_t>(time(nullptr));
  for (const char* text : {"0000", "2359", "010000", "01010000"}) {
    const auto seconds = ParseDateTime(text);
    ASSERT_TRUE(seconds) << text;
    EXPECT_GE(*seconds + 1, now) << text;
  }
  EXPECT_FALSE(ParseDateTime("0101.61"));
  EXPECT_EQ(*ParseDateTime("203001010000.01"), *ParseDateTime("3001010000.00") + 1);
}

// ---- Servers and identifiers ----

class ServerAddressTest : public ::testing::Test {
 protected:
  void SetUp() override {
    setenv("PBS_DEFAULT", "d1,127.0.0.9:7,,", 1);
    setenv("PBS_SERVERS", "d1=127.0.0.1:1,d2=127.0.0.2:2", 1);
  }
  void TearDown() override {
    unsetenv("PBS_DEFAULT");
    unsetenv("PBS_SERVERS");
  }
};

TEST_F(ServerAddressTest, ServersAreAddressesOrKnownNamesOrHosts) {
  EXPECT_EQ(DefaultServers(), (Arguments{"127.0.0.1:1", "127.0.0.9:7"}));
  EXPECT_EQ(ServerAddress("1.2.3.4:5"), "1.2.3.4:5");
  EXPECT_EQ(ServerAddress("d2"), "127.0.0.2:2");
  EXPECT_EQ(ServerAddress("d3"), "d3:15001");
  unsetenv("PBS_DEFAULT");
  EXPECT_EQ(DefaultServers(), Arguments{"127.0.0.1:15001"});
}

TEST_F(ServerAddressTest, JobIdentifierLeadsToItsServer) {
  EXPECT_EQ(ParseJobReference("12.d2")->address, "127.0.0.2:2");
  EXPECT_EQ(ParseJobReference("12.d2@d1")->address, "127.0.0.1:1");
  EXPECT_EQ(ParseJobReference("12.unknown")->address, "127.0.0.1:1");
  EXPECT_EQ(ParseJobReference("12")->id, "12");
  for (const char* bad : {"", "x", "1x.d1", ".d1", "@d1"}) {
    const auto reference = ParseJobReference(bad);
    ASSERT_FALSE(reference) << bad;
    EXPECT_EQ(Describe(reference.error()), "illegally formed job identifier: " + std::string(bad));
  }
}

TEST_F(ServerAddressTest, DestinationHasQueueAndServer) {
  EXPECT_EQ(ParseDestination("late").queue, "late");
  EXPECT_EQ(ParseDestination("late").address, "");
  EXPECT_EQ(ParseDestination("late@d2").queue, "late");
  EXPECT_EQ(ParseDestination("@d2").queue, "");
  EXPECT_EQ(ParseDestination("@d2").address, "127.0.0.2:2");
}

TEST(Requests, RejectionHasMeaningOfCodeAndText) {
  pbs_protocol::Reply reply;
  reply.code = pbs_protocol::Code::kUnknownJob;
  const std::string meaning = pbs_protocol::Describe(reply.code);
  EXPECT_EQ(DescribeRejection(reply), meaning);
  reply.choice = pbs_protocol::Choice::kText;
  reply.text = "why";
  EXPECT_EQ(DescribeRejection(reply), meaning + ": why");
  reply.code = pbs_protocol::Code::kNone;
  EXPECT_EQ(DescribeRejection(reply), "why");
}

}  // namespace
}  // namespace mountflow::cli
