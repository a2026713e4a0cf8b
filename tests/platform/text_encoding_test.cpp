#include "platform/text_encoding.hpp"

#include <gtest/gtest.h>

namespace mountflow::platform {
namespace {

TEST(TextEncoding, ReadsExactlyTheGivenNumberOfLowerCaseDigits) {
  std::uint64_t value = 7;
  EXPECT_TRUE(ReadHex("9b1f03aa5c7e2d41", 16, &value));
  EXPECT_EQ(value, 0x9b1f03aa5c7e2d41u);
  EXPECT_TRUE(ReadHex("0f", 2, &value));
  EXPECT_EQ(value, 0x0fu);
  for (const char* text : {"", "f", "fff", "FF", "g0", " f", "-1"}) {
    EXPECT_FALSE(ReadHex(text, 2, &value)) << text;
  }
  EXPECT_FALSE(ReadHex("00000000000000000", 17, &value));
  EXPECT_EQ(value, 0x0fu) << "must stay unchanged after an error";
}

TEST(TextEncoding, WritesSixteenDigits) {
  EXPECT_EQ(WriteHex(0), "0000000000000000");
  EXPECT_EQ(WriteHex(0x9b1f03aa5c7e2d41u), "9b1f03aa5c7e2d41");
  EXPECT_EQ(WriteHex(~std::uint64_t{0}), "ffffffffffffffff");
}

TEST(TextEncoding, AcceptsWellFormedUtf8) {
  for (const char* text :
       {"", "plain", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80",
        "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf", "a\xc3\xa9z\xe2\x82\xac\xf0\x9f\x98\x80"}) {
    EXPECT_TRUE(IsUtf8(text)) << text;
  }
  EXPECT_TRUE(IsUtf8(std::string(3, '\0')));
}

TEST(TextEncoding, RejectsMalformedUtf8) {
  const std::pair<const char*, const char*> malformed[] = {{"continuation alone", "\x80"},
                                                           {"overlong in two", "\xc1\xbf"},
                                                           {"overlong in three", "\xe0\x9f\xbf"},
                                                           {"overlong in four", "\xf0\x8f\xbf\xbf"},
                                                           {"surrogate", "\xed\xa0\x80"},
                                                           {"beyond the last", "\xf4\x90\x80\x80"},
                                                           {"five bytes", "\xf8\x88\x80\x80\x80"},
                                                           {"not a byte of it", "\xff"},
                                                           {"cut in two", "\xc3"},
                                                           {"cut in three", "\xe2\x82"},
                                                           {"cut in four", "\xf0\x9f\x98"},
                                                           {"second is plain", "\xc3z"},
                                                           {"third is plain", "\xe2\x82z"},
                                                           {"fourth is plain", "\xf0\x9f\x98z"}};
  for (const auto& [name, text] : malformed) {
    EXPECT_FALSE(IsUtf8(text)) << name;
    EXPECT_FALSE(IsUtf8(std::string("ab") + text)) << name;
  }
}

TEST(TextEncoding, QuotesOnlyPrintableTextOfLimitedLength) {
  EXPECT_EQ(Quote("plain ~"), "'plain ~'");
  EXPECT_EQ(Quote("a\nb\xff"), "'a?b?'");
  EXPECT_EQ(Quote(std::string(40, 'x')), "'" + std::string(40, 'x') + "'");
  EXPECT_EQ(Quote(std::string(41, 'x')), "'" + std::string(40, 'x') + "...'");
}

}  // namespace
}  // namespace mountflow::platform
