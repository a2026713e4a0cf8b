// Tests of tls::Renewal: when files are reloaded, and warnings of expiring certificates.
#include <gtest/gtest.h>

#include "tls/renewal.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::int64_t kDay = 86'400;

tls::TlsStatus LoadFailed() {
  return tl::unexpected(
      tls::TlsError{tls::TlsErrorCode::kBadKey, "a.key", "the PEM key of a.pem", "half written"});
}

TEST(Renewal, LoadsChangedFilesOnceAndRetriesFailures) {
  tls::Renewal renewal;
  Micros now = 1000 * kSecond;
  EXPECT_TRUE(renewal.CheckFiles(now, "a"));
  renewal.OnLoaded({});
  EXPECT_FALSE(renewal.Due(now + 9 * kSecond));
  EXPECT_TRUE(renewal.Due(now += 10 * kSecond));
  EXPECT_FALSE(renewal.CheckFiles(now, "a"));
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(renewal.CheckFiles(now += 10 * kSecond, "b"));
    renewal.OnLoaded(LoadFailed());
  }
  EXPECT_EQ(renewal.TakeWarnings(),
            std::vector<std::string>{
                "keys not loaded, the previous ones stay in use: a.key: expected the PEM key of "
                "a.pem (half written)"});
  EXPECT_TRUE(renewal.CheckFiles(now += 10 * kSecond, "c"));
  renewal.OnLoaded({});
  EXPECT_FALSE(renewal.CheckFiles(now += 10 * kSecond, "c"));
  EXPECT_EQ(renewal.TakeWarnings(), std::vector<std::string>{"keys loaded anew"});
  renewal.CheckNow();
  EXPECT_TRUE(renewal.Due(now));
}

TEST(Renewal, WarnsOfAnExpiryOnceAtEachThresholdAndDailyAfterIt) {
  tls::Renewal renewal;
  const std::int64_t expiry = 1000 * kDay;
  const auto warnings = [&renewal](std::int64_t at, std::int64_t not_after) {
    renewal.CheckExpiries(static_cast<Micros>(at) * kSecond, {{"certificate x", not_after}});
    return renewal.TakeWarnings().size();
  };
  EXPECT_EQ(warnings(expiry - 60 * kDay, expiry), 0u);
  EXPECT_EQ(warnings(expiry - 30 * kDay, expiry), 1u);
  EXPECT_EQ(warnings(expiry - 29 * kDay, expiry), 0u);
  EXPECT_EQ(warnings(expiry - 2 * kDay, expiry), 1u);  // a late check: one warning, not three
  EXPECT_EQ(warnings(expiry - kDay, expiry), 1u);
  EXPECT_EQ(warnings(expiry - 10, expiry), 0u);
  EXPECT_EQ(warnings(expiry, expiry), 1u);
  EXPECT_EQ(warnings(expiry + kDay / 2, expiry), 0u);
  EXPECT_EQ(warnings(expiry + kDay, expiry), 1u);
  EXPECT_EQ(warnings(expiry + 3 * kDay, expiry), 1u);
  EXPECT_EQ(warnings(expiry + 3 * kDay, expiry + 100 * kDay), 0u);  // the certificate was renewed
  EXPECT_EQ(warnings(expiry + 72 * kDay, expiry + 100 * kDay), 1u);
}

}  // namespace
}  // namespace mountflow::testing
