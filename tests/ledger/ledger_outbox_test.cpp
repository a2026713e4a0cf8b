// Tests of ledger::Outbox: detection of the records that are missing from the ledger's log.
#include <gtest/gtest.h>

#include "ledger/outbox.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(Outbox, DistinguishesRecordsInTheLogFromMissingOnes) {
  Outbox writer(7);
  const std::vector<std::string> sent = {writer.Encode("a"), writer.Encode("b"),
                                         writer.Encode(std::string(300, 'c'))};
  Outbox reader(8);  // the ledger's log contains one of the three records
  auto entry = reader.Decode(sent[0]);
  ASSERT_TRUE(entry);
  EXPECT_FALSE(entry->missing);
  entry = reader.Decode(sent[1]);
  ASSERT_TRUE(entry);
  EXPECT_TRUE(entry->missing);
  EXPECT_EQ(entry->record, "b");
  entry = reader.Decode(sent[1]);  // replayed from an older snapshot
  ASSERT_TRUE(entry);
  EXPECT_FALSE(entry->missing);
  entry = reader.Decode(sent[2]);
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->record, std::string(300, 'c'));
  EXPECT_EQ(reader.Encode("d"), Outbox(10).Encode("d"));
}

TEST(Outbox, RejectsAGapAndBytesThatAreNoEntry) {
  Outbox writer(8);
  const std::string ninth = writer.Encode("b");
  Outbox reader(7);
  const auto gap = reader.Decode(ninth);
  ASSERT_FALSE(gap);
  EXPECT_EQ(gap.error().code, LedgerErrorCode::kOutOfSequence);
  EXPECT_EQ(Describe(gap.error()), "expected ledger record 8, found 9");
  const auto malformed = reader.Decode("L");
  ASSERT_FALSE(malformed);
  EXPECT_EQ(malformed.error().code, LedgerErrorCode::kMalformedRecord);
  EXPECT_TRUE(Outbox::IsEntry(ninth));
  EXPECT_FALSE(Outbox::IsEntry(""));
  EXPECT_FALSE(Outbox::IsEntry("\x01"));
}

}  // namespace
}  // namespace mountflow::testing
