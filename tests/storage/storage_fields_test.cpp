// Tests of the encoding of fields in records.
#include <gtest/gtest.h>

#include <limits>

#include "storage/fields.hpp"

namespace mountflow::testing {
namespace {

using namespace storage;

enum class Color { kRed, kBlue };

struct Everything {
  std::uint64_t unsigned_wide = std::numeric_limits<std::uint64_t>::max();
  std::uint32_t unsigned_number = std::numeric_limits<std::uint32_t>::max();
  bool flag = true;
  int number = std::numeric_limits<int>::min();
  std::int64_t wide = std::numeric_limits<std::int64_t>::min();
  Int128 widest = -(Int128{1} << 100);
  double real = -0.25;
  std::string text = "text";
  Color color = Color::kBlue;
  std::vector<int> list = {-1, 0, 300};
  bool operator==(const Everything&) const = default;
};

template <typename Archive, typename T>
void Fields(Archive& archive, T& value) {
  archive("unsigned_wide", value.unsigned_wide);
  archive("unsigned_number", value.unsigned_number);
  archive("flag", value.flag);
  archive("number", value.number);
  archive("wide", value.wide);
  archive("widest", value.widest);
  archive("real", value.real);
  archive("text", value.text);
  archive.Enum("color", value.color, Color::kBlue);
  archive.List("list", value.list, [&archive](auto& element) { archive("element", element); });
}

TEST(Fields, ReadWhatWasWritten) {
  const Everything value;
  std::string bytes;
  FieldWriter writer(&bytes);
  Fields(writer, value);
  Everything read;
  read.list.clear();
  read.text.clear();
  FieldReader reader(bytes);
  Fields(reader, read);
  EXPECT_TRUE(reader.Finish());
  EXPECT_TRUE(read == value);
}

TEST(Fields, ReportTheFirstFieldThatIsCutOff) {
  const Everything value;
  std::string bytes;
  FieldWriter writer(&bytes);
  Fields(writer, value);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Everything read;
    FieldReader reader(std::string_view(bytes).substr(0, size));
    Fields(reader, read);
    EXPECT_FALSE(reader.ok()) << size;
    EXPECT_FALSE(reader.Finish()) << size;
  }
}

// Returns the error of reading `bytes` as a field of the type of `value`; empty on success.
template <typename T>
std::string ErrorOfReading(const std::string& bytes, T value) {
  FieldReader reader(bytes);
  reader("field", value);
  const auto finished = reader.Finish();
  return finished ? "" : Describe(finished.error());
}

TEST(Fields, RejectValuesOutsideTheirTypes) {
  std::string two_to_32;
  FieldWriter writer(&two_to_32);
  writer("field", std::uint64_t{1} << 32);
  EXPECT_EQ(ErrorOfReading(two_to_32, std::uint32_t{0}), "field at byte 5: a number of 32 bits");
  EXPECT_EQ(ErrorOfReading(two_to_32, 0), "field at byte 5: a number of 32 bits");
  EXPECT_EQ(ErrorOfReading(two_to_32, false), "field at byte 5: 0 or 1");
  EXPECT_EQ(ErrorOfReading(std::string(11, '\xff'), std::uint64_t{0}),
            "field at byte 10: a number of 64 bits");
  EXPECT_EQ(ErrorOfReading("", std::uint64_t{0}), "field at byte 0: a number");
  EXPECT_EQ(ErrorOfReading("\x05text", std::string()), "field at byte 1: as many bytes as its length says");
  EXPECT_EQ(ErrorOfReading("1234567", 0.0), "field at byte 0: eight bytes");
  EXPECT_EQ(ErrorOfReading("\x01\x01", true), "end at byte 1: nothing more");

  Color color = Color::kRed;
  FieldReader enum_reader("\x02");
  enum_reader.Enum("color", color, Color::kBlue);
  ASSERT_FALSE(enum_reader.ok());
  EXPECT_EQ(Describe(*enum_reader.error()), "color at byte 1: a known value");

  std::vector<int> list;
  FieldReader list_reader("\x7f");
  list_reader.List("list", list, [](int&) { FAIL(); });
  ASSERT_FALSE(list_reader.ok());
  EXPECT_EQ(Describe(*list_reader.error()), "list at byte 1: as many elements as its length says");
}

TEST(Fields, LeaveTheBytesAfterTheLastFieldUnread) {
  std::uint64_t value = 0;
  FieldReader reader("\x81\x01rest");
  reader("value", value);
  EXPECT_EQ(value, 129u);
  EXPECT_EQ(reader.remaining(), "rest");
}

}  // namespace
}  // namespace mountflow::testing
