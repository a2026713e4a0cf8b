// Tests of tls::Keys, which loads key files from disk.
#include <gtest/gtest.h>

#include <filesystem>

#include "tests/support/tls_session_fixture.hpp"
#include "tls/keys.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kSecond = 1'000'000;

TEST(Keys, MakeNoSessionsWithoutFiles) {
  tls::Keys keys(tls::Options{});
  EXPECT_FALSE(keys.on());
  EXPECT_TRUE(keys.Start(kSecond));
  EXPECT_EQ(keys.Session("127.0.0.1:1"), nullptr);
  EXPECT_EQ(keys.NextTimer(), ~Micros{0});
}

TEST(Keys, ReportAFileThatCannotBeLoadedAtTheStart) {
  tls::Options options;
  options.ca = "/none.pem";
  tls::Keys keys(options);
  const tls::TlsStatus started = keys.Start(kSecond);
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().code, tls::TlsErrorCode::kBadCa);
  EXPECT_EQ(started.error().file, "/none.pem");
}

TEST(Keys, LoadChangedFilesWhenTheyAreChecked) {
  Authority authority;
  authority.Issue("server", "IP:127.0.0.1");
  tls::Keys keys(TlsOptionsOf(authority, "server"), tls::Side::kServer);
  ASSERT_TRUE(keys.Start(1000 * kSecond));
  EXPECT_NE(keys.Session(""), nullptr);
  keys.Poll(1010 * kSecond);
  EXPECT_TRUE(keys.TakeWarnings().empty());
  std::filesystem::remove(authority.File("server.key"));  // gives the new file another inode or time
  authority.Issue("server", "IP:127.0.0.1");
  keys.Poll(1011 * kSecond);  // no check is due yet
  EXPECT_TRUE(keys.TakeWarnings().empty());
  keys.CheckNow();
  keys.Poll(1011 * kSecond);
  EXPECT_EQ(keys.TakeWarnings(), std::vector<std::string>{"keys loaded anew"});
}

}  // namespace
}  // namespace mountflow::testing
