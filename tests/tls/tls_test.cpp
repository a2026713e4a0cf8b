// TLS over memory: who is believed, what is told of the end of certificates, keys that change.
#include <gtest/gtest.h>

#include <fstream>

#include "tests/support/tls_fixture.hpp"
#include "tls/context.hpp"
#include "tls/keys.hpp"
#include "tls/renewal.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::int64_t kDay = 86'400;

tls::Options Of(const Authority& ca, const std::string& who, bool with_ca = true) {
  tls::Options o;
  if (with_ca) o.ca = ca.ca();
  if (!who.empty()) o.certificate = ca.File(who + ".pem"), o.key = ca.File(who + ".key");
  return o;
}

// A client's and a server's session, joined by strings; bytes pass `piece` at a time.
struct Pair {
  std::unique_ptr<event_loop::ConnectionFilter> client, server;
  std::string to_server, to_client, server_heard, client_heard;

  void Join(std::size_t piece = 1 << 20) {
    for (int i = 0; i < 100'000 && !(to_server.empty() && to_client.empty()); ++i) {
      Pass(&to_server, server.get(), &server_heard, &to_client, piece);
      Pass(&to_client, client.get(), &client_heard, &to_server, piece);
    }
  }
  static void Pass(std::string* from, event_loop::ConnectionFilter* to, std::string* heard, std::string* back,
                   std::size_t piece) {
    const std::string part = from->substr(0, piece);
    from->erase(0, part.size());
    if (!part.empty()) to->Receive(part, heard, back);
  }
};

Pair Shake(tls::Context& client, tls::Context& server, const std::string& host, std::size_t piece = 1 << 20) {
  Pair p;
  p.client = client.NewSession(host);
  p.server = server.NewSession("");
  p.server->Start(&p.to_client);
  p.client->Start(&p.to_server);
  p.Join(piece);
  return p;
}

struct Sides {
  tls::Context client, server;
  Sides(tls::Options c, tls::Options s)
      : client(tls::Side::kClient, std::move(c)), server(tls::Side::kServer, std::move(s)) {
    std::string error;
    EXPECT_TRUE(client.Load(&error)) << error;
    EXPECT_TRUE(server.Load(&error)) << error;
  }
};

TEST(Tls, CarriesBytesBothWaysHoweverTheyAreCut) {
  Authority ca;
  ca.Issue("server", "IP:127.0.0.1");
  ca.Issue("client", "");
  Sides s(Of(ca, "client"), Of(ca, "server"));
  Pair p = Shake(s.client, s.server, "127.0.0.1", 7);
  ASSERT_TRUE(p.client->ready()) << p.client->error();
  ASSERT_TRUE(p.server->ready()) << p.server->error();
  std::string big;
  for (int i = 0; i < 100'000; ++i) big += static_cast<char>('a' + i % 26);
  EXPECT_TRUE(p.client->Send(big, &p.to_server));
  EXPECT_TRUE(p.server->Send("short", &p.to_client));
  EXPECT_EQ(p.to_server.find("abcdefghij"), std::string::npos);
  p.Join(1000);
  EXPECT_EQ(p.server_heard, big);
  EXPECT_EQ(p.client_heard, "short");
  p.server->Finish(&p.to_client);
  p.Join();
  EXPECT_EQ(p.client->error(), "closed by peer");
}

TEST(Tls, TheNameMustBeTheOneThatIsConnectedToOrTheOneStated) {
  Authority ca;
  ca.Issue("ip", "IP:127.0.0.1");
  ca.Issue("dns", "DNS:registry.internal");
  const auto ready = [&ca](const char* server, const std::string& host, const std::string& name) {
    tls::Options o = Of(ca, "");
    o.name = name;
    Sides s(o, Of(ca, server, false));
    return Shake(s.client, s.server, host).client->ready();
  };
  EXPECT_TRUE(ready("ip", "127.0.0.1", ""));
  EXPECT_FALSE(ready("ip", "127.0.0.2", ""));
  EXPECT_FALSE(ready("dns", "127.0.0.1", ""));
  EXPECT_TRUE(ready("dns", "127.0.0.1", "registry.internal"));
  EXPECT_FALSE(ready("dns", "127.0.0.1", "registry"));
  EXPECT_FALSE(ready("ip", "127.0.0.1", "registry.internal"));
}

TEST(Tls, StrangersAndEndedCertificatesAreRefusedWithTheReason) {
  Authority ca, other("another CA");
  other.Issue("server", "IP:127.0.0.1");
  ca.Issue("ended", "IP:127.0.0.1", -7200, -3600);
  ca.Issue("early", "IP:127.0.0.1", 3600, 7200);
  const auto why = [](tls::Options client, tls::Options server) {
    Sides s(std::move(client), std::move(server));
    Pair p = Shake(s.client, s.server, "127.0.0.1");
    EXPECT_FALSE(p.client->ready());
    EXPECT_FALSE(p.server->ready());  // it was told by an alert
    EXPECT_FALSE(p.client->Send("secret", &p.to_server));
    EXPECT_TRUE(p.to_server.empty());
    return p.client->error();
  };
  EXPECT_NE(why(Of(ca, ""), Of(other, "server", false)).find("issuer"), std::string::npos);
  EXPECT_NE(why(Of(ca, ""), Of(ca, "ended", false)).find("expired"), std::string::npos);
  EXPECT_NE(why(Of(ca, ""), Of(ca, "early", false)).find("not yet valid"), std::string::npos);
}

TEST(Tls, AServerThatAsksForCertificatesTakesOnlyThoseOfItsCa) {
  Authority ca, other("another CA");
  ca.Issue("server", "IP:127.0.0.1");
  ca.Issue("client", "");
  other.Issue("client", "");
  tls::Options stranger = Of(other, "client");
  stranger.ca = ca.ca();
  Sides good(Of(ca, "client"), Of(ca, "server")), none(Of(ca, ""), Of(ca, "server")),
      strange(stranger, Of(ca, "server"));
  EXPECT_TRUE(Shake(good.client, good.server, "127.0.0.1").server->ready());
  for (Sides* s : {&none, &strange}) {
    Pair p = Shake(s->client, s->server, "127.0.0.1");
    EXPECT_FALSE(p.server->ready());
    EXPECT_FALSE(p.client->error().empty());  // by the server's alert, after its own part was done
  }
}

TEST(Tls, NoiseEndsASessionAndNothingElse) {
  Authority ca;
  ca.Issue("server", "IP:127.0.0.1");
  Sides s(Of(ca, ""), Of(ca, "server", false));
  auto session = s.server.NewSession("");
  std::string plain, out;
  EXPECT_FALSE(session->Receive("GET / HTTP/1.1\r\n\r\n", &plain, &out));
  EXPECT_NE(session->error().find("TLS"), std::string::npos);
  EXPECT_FALSE(session->Receive("more", &plain, &out));
  EXPECT_TRUE(plain.empty());
}

TEST(Tls, LoadingIsAllOrNothingAndSessionsKeepTheirKeys) {
  Authority ca;
  ca.Issue("server", "IP:127.0.0.1");
  Sides s(Of(ca, ""), Of(ca, "server", false));
  Pair p = Shake(s.client, s.server, "127.0.0.1");
  // A certificate that is there before its key.
  const std::string key = ca.File("server.key");
  std::filesystem::copy_file(key, ca.File("old.key"));
  ca.Issue("server", "IP:127.0.0.1", -3600, 10 * kDay);
  std::filesystem::copy_file(key, ca.File("new.key"));
  std::filesystem::copy_file(ca.File("old.key"), key, std::filesystem::copy_options::overwrite_existing);
  std::string error;
  EXPECT_FALSE(s.server.Load(&error));
  EXPECT_NE(error.find(key + ": expected the PEM key of " + ca.File("server.pem")), std::string::npos)
      << error;
  EXPECT_TRUE(Shake(s.client, s.server, "127.0.0.1").client->ready());  // by the old ones
  std::filesystem::copy_file(ca.File("new.key"), key, std::filesystem::copy_options::overwrite_existing);
  EXPECT_TRUE(s.server.Load(&error)) << error;
  EXPECT_TRUE(Shake(s.client, s.server, "127.0.0.1").client->ready());
  EXPECT_TRUE(p.client->Send("still", &p.to_server));
  p.Join();
  EXPECT_EQ(p.server_heard, "still");
  const auto ends = s.client.Expiries();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_NEAR(static_cast<double>(ends[0].not_after - time(nullptr)), 10.0 * kDay, 60.0);
}

TEST(Tls, MissingAndForeignFilesAreNamed) {
  Authority ca;
  ca.Issue("a", "");
  std::ofstream(ca.File("text.pem")) << "no certificate\n";
  const auto complaint = [](tls::Options o) {
    tls::Context context(tls::Side::kClient, std::move(o));
    std::string error;
    EXPECT_FALSE(context.Load(&error));
    EXPECT_EQ(context.NewSession("127.0.0.1"), nullptr);
    return error;
  };
  tls::Options o = Of(ca, "a");
  o.ca = ca.File("none.pem");
  EXPECT_NE(complaint(o).find(ca.File("none.pem") + ": expected PEM certificates"), std::string::npos);
  o = Of(ca, "a");
  o.certificate = ca.File("text.pem");
  EXPECT_NE(complaint(o).find(ca.File("text.pem") + ": expected a PEM certificate"), std::string::npos);
  o = Of(ca, "a", false);
  EXPECT_EQ(complaint(o), "expected a CA's file");
}

TEST(Renewal, ChangedFilesAreLoadedOnceAndFailuresTriedAgain) {
  tls::Renewal r;
  Micros now = 1000 * kSecond;
  EXPECT_TRUE(r.Look(now, "a"));
  r.Loaded(true, "");
  EXPECT_FALSE(r.Due(now + 9 * kSecond));
  EXPECT_TRUE(r.Due(now += 10 * kSecond));
  EXPECT_FALSE(r.Look(now, "a"));
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(r.Look(now += 10 * kSecond, "b"));
    r.Loaded(false, "half written");
  }
  EXPECT_EQ(r.TakeComplaints().size(), 1u);
  EXPECT_TRUE(r.Look(now += 10 * kSecond, "c"));
  r.Loaded(true, "");
  EXPECT_FALSE(r.Look(now += 10 * kSecond, "c"));
  EXPECT_EQ(r.TakeComplaints(), std::vector<std::string>{"keys loaded anew"});
  r.LookNow();
  EXPECT_TRUE(r.Due(now));
}

TEST(Renewal, TheEndIsToldAtEachThresholdOnceAndDailyAfter) {
  tls::Renewal r;
  const std::int64_t end = 1000 * kDay;
  const auto told = [&r](std::int64_t at, std::int64_t not_after) {
    r.Consider(static_cast<Micros>(at) * kSecond, {{"certificate x", not_after}});
    return r.TakeComplaints().size();
  };
  EXPECT_EQ(told(end - 60 * kDay, end), 0u);
  EXPECT_EQ(told(end - 30 * kDay, end), 1u);
  EXPECT_EQ(told(end - 29 * kDay, end), 0u);
  EXPECT_EQ(told(end - 2 * kDay, end), 1u);  // looked at late: one line, not three
  EXPECT_EQ(told(end - kDay, end), 1u);
  EXPECT_EQ(told(end - 10, end), 0u);
  EXPECT_EQ(told(end, end), 1u);
  EXPECT_EQ(told(end + kDay / 2, end), 0u);
  EXPECT_EQ(told(end + kDay, end), 1u);
  EXPECT_EQ(told(end + 3 * kDay, end), 1u);
  EXPECT_EQ(told(end + 3 * kDay, end + 100 * kDay), 0u);  // renewed
  EXPECT_EQ(told(end + 72 * kDay, end + 100 * kDay), 1u);
}

}  // namespace
}  // namespace mountflow::testing
