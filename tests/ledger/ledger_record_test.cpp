// Tests of the encoding of the ledger's records.
#include <gtest/gtest.h>

#include "ledger/record.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(Record, RejectsEveryPrefixAndSurvivesEveryFlippedBit) {
  Record record;
  record.posting.millicore_us = -(Amount{1} << 100);
  record.posting.attempt = "1.d0/1";
  const std::string whole = EncodeRecord(record);
  const auto read = DecodeRecord(whole);
  ASSERT_TRUE(read);
  EXPECT_EQ(ToText(read->posting.millicore_us), "-1267650600228229401496703205376");
  for (std::size_t i = 0; i < whole.size(); ++i) {
    EXPECT_FALSE(DecodeRecord(whole.substr(0, i)));
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = whole;
      changed[i] = static_cast<char>(changed[i] ^ (1 << bit));
      static_cast<void>(DecodeRecord(changed));
    }
  }
}

TEST(Record, DecodesClosesAndReopensAsEncoded) {
  for (const RecordKind kind : {RecordKind::kClose, RecordKind::kReopen}) {
    Record record;
    record.kind = kind;
    record.period = "2026-12";
    record.at = 17;
    const auto read = DecodeRecord(EncodeRecord(record));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, kind);
    EXPECT_EQ(read->period, "2026-12");
    EXPECT_EQ(read->at, 17u);
  }
}

TEST(Record, ReportsTheFieldAndItsPlace) {
  const auto unknown = DecodeRecord("\x04\x01");
  ASSERT_FALSE(unknown);
  EXPECT_EQ(unknown.error().code, LedgerErrorCode::kMalformedRecord);
  EXPECT_EQ(Describe(unknown.error()), "expected a record of the ledger, version 1");
  const auto cut_off = DecodeRecord("\x02\x01");
  ASSERT_FALSE(cut_off);
  EXPECT_EQ(cut_off.error().code, LedgerErrorCode::kMalformedRecord);
  EXPECT_EQ(cut_off.error().subject, "period at byte 0");
}

}  // namespace
}  // namespace mountflow::testing
