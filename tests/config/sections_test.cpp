// Tests decoding of single sections.
#include "config/sections.hpp"

#include <gtest/gtest.h>

#include <string>

#include "config/tls_section.hpp"

namespace mountflow::config {
namespace {

using nlohmann::json;

TEST(Sections, AnAbsentKeyLeavesTheDefault) {
  ConfigErrors errors;
  const json empty = json::object();
  const SectionReader section(empty, "f", "/door", &errors);
  EXPECT_EQ(DecodeAdmission(section).max_wait, admission::AdmissionOptions().max_wait);
  EXPECT_EQ(DecodeGroup(section).max_view_age, 5'000'000u);
  EXPECT_EQ(DecodeStorage(section).snapshot_after_bytes, 64u << 20);
  EXPECT_TRUE(errors.empty());
}

TEST(Sections, SecondsBecomeMicroseconds) {
  ConfigErrors errors;
  const json group = {{"ttl_s", 1.5}, {"most_age_s", 2}};
  const GroupConfig decoded = DecodeGroup({group, "f", "/group", &errors});
  EXPECT_EQ(decoded.entry_time_to_live, 1'500'000u);
  EXPECT_EQ(decoded.max_view_age, 2'000'000u);
}

TEST(Sections, MebibytesBecomeBytes) {
  ConfigErrors errors;
  const json storage = {{"folder", "/f"}, {"snapshot_mb", 1.5}};
  EXPECT_EQ(DecodeStorage({storage, "f", "/storage", &errors}).snapshot_after_bytes, 1'572'864u);
}

TEST(Sections, AnAddressBeyondLoopbackNeedsTheFlag) {
  ConfigErrors errors;
  json listen = {{"http", "10.0.0.1:80"}};
  EXPECT_EQ(DecodeListen({listen, "f", "/listen", &errors}).http_address, "10.0.0.1:80");
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_EQ(Describe(errors[0]), "f: at /listen: expected loopback addresses, or \"beyond_loopback\": true");
  errors.clear();
  listen["beyond_loopback"] = true;
  EXPECT_TRUE(DecodeListen({listen, "f", "/listen", &errors}).allow_beyond_loopback);
  EXPECT_TRUE(errors.empty());
}

TEST(Sections, EtcdHasItsOwnEndpointAndNoServices) {
  ConfigErrors errors;
  const json list = {{"kind", "etcd"}, {"service", "nodes"}};
  const discovery::ClientOptions options = DecodeNodeList({list, "f", "/list", &errors});
  EXPECT_EQ(options.endpoints, std::vector<std::string>{"127.0.0.1:2379"});
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_EQ(errors[0].pointer, "/list/service");
}

TEST(Sections, ATimeZoneThatIsNotPosixIsAnError) {
  ConfigErrors errors;
  const json billing = {{"zone", "Europe/Berlin"}, {"budgets", {{"t", 2}}}};
  const ledger::BillingRules rules = DecodeBilling({billing, "f", "/billing", &errors});
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_EQ(errors[0].pointer, "/billing/zone");
  EXPECT_EQ(ledger::ToText(rules.budgets.at("t")), "7200000000000");  // millicore-microseconds
}

TEST(Sections, ACertificateNeedsItsKey) {
  const auto tls = ReadTls({{"ca", "a"}, {"certificate", "c"}}, "f", "/tls");
  ASSERT_FALSE(tls.has_value());
  EXPECT_EQ(Describe(tls.error()), "f: at /tls: expected certificate and key, or neither");
  const auto whole = ReadTls({{"ca", "a"}, {"certificate", "c"}, {"key", "k"}, {"name", "n"}}, "f", "/tls");
  ASSERT_TRUE(whole.has_value());
  EXPECT_EQ(whole->key, "k");
  EXPECT_EQ(whole->name, "n");
}

}  // namespace
}  // namespace mountflow::config
