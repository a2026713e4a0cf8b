#include "pbs_server/attribute_comparison.hpp"

#include <gtest/gtest.h>

namespace mountflow::pbs_server {
namespace {

using pbs_protocol::Attribute;
using pbs_protocol::Op;

bool MatchesValue(const Attribute& shown, const char* wanted, Op op) {
  return Matches({shown}, {shown.name, shown.resource, wanted, op});
}

TEST(AttributeComparisonTest, ComparesNumbersByValue) {
  const Attribute cores{"Resource_List", "ncpus", "10"};
  EXPECT_TRUE(MatchesValue(cores, "9", Op::kGt));
  EXPECT_TRUE(MatchesValue(cores, "10.0", Op::kEq));
  EXPECT_FALSE(MatchesValue(cores, "10", Op::kNe));
  EXPECT_TRUE(MatchesValue(cores, "10", Op::kLe));
  EXPECT_FALSE(MatchesValue(cores, "10", Op::kLt));
}

TEST(AttributeComparisonTest, ComparesSizesAndTimesAcrossTheirSpellings) {
  EXPECT_TRUE(MatchesValue({"Resource_List", "mem", "1gb"}, "1024mb", Op::kEq));
  EXPECT_TRUE(MatchesValue({"Resource_List", "mem", "2gb"}, "1500mb", Op::kGe));
  EXPECT_TRUE(MatchesValue({"Resource_List", "walltime", "00:01:40"}, "100", Op::kEq));
  EXPECT_TRUE(MatchesValue({"Resource_List", "walltime", "00:01:40"}, "1:39", Op::kGt));
}

TEST(AttributeComparisonTest, EqualityOfStatesMatchesAnyListedState) {
  const Attribute state{"job_state", "", "H"};
  EXPECT_TRUE(MatchesValue(state, "QH", Op::kEq));
  EXPECT_TRUE(MatchesValue(state, "QH", Op::kSet));
  EXPECT_FALSE(MatchesValue(state, "QR", Op::kEq));
  EXPECT_TRUE(MatchesValue(state, "QH", Op::kNe)) << "compared as texts";
}

TEST(AttributeComparisonTest, ComparesUsersWithoutTheirHosts) {
  const Attribute user{"Job_Owner", "", "thandi@here"};
  EXPECT_TRUE(MatchesValue(user, "thandi@there", Op::kEq));
  EXPECT_FALSE(MatchesValue(user, "thandi", Op::kNe));
  EXPECT_TRUE(MatchesValue(user, "sipho", Op::kNe));
}

TEST(AttributeComparisonTest, AMissingAttributeIsAnEmptyText) {
  EXPECT_TRUE(Matches({}, {"exec_host", "", "", Op::kEq}));
  EXPECT_FALSE(Matches({}, {"exec_host", "", "a/0", Op::kEq}));
  EXPECT_TRUE(Matches({}, {"Resource_List", "mem", "1gb", Op::kLt}));
}

}  // namespace
}  // namespace mountflow::pbs_server
