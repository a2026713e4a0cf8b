// Tests of the file format of a log.
#include <gtest/gtest.h>

#include "storage/log_format.hpp"

namespace mountflow::testing {
namespace {

using namespace storage;

TEST(LogFormat, ParsesTheNumbersOfItsOwnFilesOnly) {
  const std::string name = NumberedFileName("jobs", 17, kSegmentSuffix);
  EXPECT_EQ(name, "jobs-00000000000000000017.log");
  EXPECT_EQ(ParseFileNumber(name, "jobs", kSegmentSuffix), std::optional<std::uint64_t>(17));
  EXPECT_FALSE(ParseFileNumber(name, "ledger", kSegmentSuffix));
  EXPECT_FALSE(ParseFileNumber(name, "jobs", kSnapshotSuffix));
  EXPECT_FALSE(ParseFileNumber("jobs-.log", "jobs", kSegmentSuffix));
  EXPECT_FALSE(ParseFileNumber("jobs-1x.log", "jobs", kSegmentSuffix));
  EXPECT_FALSE(ParseFileNumber("jobs", "jobs", kSegmentSuffix));
}

TEST(LogFormat, DecodesAFrameOnlyWhenEveryByteIsAsWritten) {
  const std::string frame = EncodeFrame(5, {"first", "", "third"});
  const std::string bytes = "rest" + frame;
  const std::optional<Frame> decoded = DecodeFrame(bytes, 4);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->first_sequence, 5u);
  EXPECT_EQ(decoded->size, frame.size());
  EXPECT_EQ(SplitRecords(*decoded), (std::vector<std::string_view>{"first", "", "third"}));
  EXPECT_EQ(FindFrame(bytes, 0), std::optional<std::size_t>(4));
  EXPECT_FALSE(FindFrame(bytes, 5));
  for (std::size_t i = 0; i < frame.size(); ++i) {
    EXPECT_FALSE(DecodeFrame(std::string_view(frame).substr(0, i), 0)) << i;
    std::string changed = frame;
    changed[i] ^= 1;
    EXPECT_FALSE(DecodeFrame(changed, 0)) << i;
  }
}

TEST(LogFormat, SplitsNoFrameThatContainsFewerRecordsThanItsHeaderStates) {
  const std::string bytes = EncodeFrame(1, {"one"});
  std::optional<Frame> frame = DecodeFrame(bytes, 0);
  ASSERT_TRUE(frame);
  frame->record_count = 2;
  EXPECT_FALSE(SplitRecords(*frame));
  frame->record_count = 1;
  frame->records.remove_suffix(1);
  EXPECT_FALSE(SplitRecords(*frame));
}

TEST(LogFormat, DecodesHeadersOnlyWhenWhole) {
  const std::string segment = EncodeSegmentHeader(9);
  EXPECT_EQ(segment.size(), kSegmentHeaderSize);
  EXPECT_EQ(DecodeSegmentHeader(segment), std::optional<std::uint64_t>(9));
  const std::string snapshot = EncodeSnapshotHeader(9, "state") + "state";
  EXPECT_EQ(DecodeSnapshot(snapshot, 9), std::optional<std::string_view>("state"));
  EXPECT_FALSE(DecodeSnapshot(snapshot, 8));
  for (const std::string& whole : {segment, snapshot}) {
    for (std::size_t i = 0; i < whole.size(); ++i) {
      const std::string cut = whole.substr(0, i);
      std::string changed = whole;
      changed[i] ^= 1;
      EXPECT_FALSE(DecodeSegmentHeader(cut));
      EXPECT_FALSE(DecodeSnapshot(cut, 9));
      EXPECT_FALSE(DecodeSegmentHeader(changed));
      EXPECT_FALSE(DecodeSnapshot(changed, 9));
    }
  }
}

}  // namespace
}  // namespace mountflow::testing
