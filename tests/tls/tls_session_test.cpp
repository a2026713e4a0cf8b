// Tests of TLS sessions in memory: the certificates that they accept, and the loading of key files.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "tests/support/tls_session_fixture.hpp"
#include "tls/context.hpp"

namespace mountflow::testing {
namespace {

using tls::Options;
using tls::TlsErrorCode;

TEST(Tls, CarriesBytesBothWaysInPiecesOfAnySize) {
  Authority authority;
  authority.Issue("server", "IP:127.0.0.1");
  authority.Issue("client", "");
  ContextPair contexts(TlsOptionsOf(authority, "client"), TlsOptionsOf(authority, "server"));
  SessionPair pair = Handshake(contexts.client, contexts.server, "127.0.0.1", 7);
  ASSERT_TRUE(pair.client->ready()) << pair.client->error();
  ASSERT_TRUE(pair.server->ready()) << pair.server->error();
  std::string big;
  for (int i = 0; i < 100'000; ++i) big += static_cast<char>('a' + i % 26);
  EXPECT_TRUE(pair.client->Send(big, &pair.to_server));
  EXPECT_TRUE(pair.server->Send("short", &pair.to_client));
  EXPECT_EQ(pair.to_server.find("abcdefghij"), std::string::npos);
  pair.Exchange(1000);
  EXPECT_EQ(pair.server_received, big);
  EXPECT_EQ(pair.client_received, "short");
  pair.server->Finish(&pair.to_client);
  pair.Exchange();
  EXPECT_EQ(pair.client->error(), "closed by peer");
}

TEST(Tls, AcceptsOnlyTheNameThatIsConnectedToOrTheConfiguredOne) {
  Authority authority;
  authority.Issue("ip", "IP:127.0.0.1");
  authority.Issue("dns", "DNS:registry.internal");
  const auto ready = [&authority](const char* server, const std::string& host, const std::string& name) {
    Options options = TlsOptionsOf(authority, "");
    options.name = name;
    ContextPair contexts(options, TlsOptionsOf(authority, server, false));
    return Handshake(contexts.client, contexts.server, host).client->ready();
  };
  EXPECT_TRUE(ready("ip", "127.0.0.1", ""));
  EXPECT_FALSE(ready("ip", "127.0.0.2", ""));
  EXPECT_FALSE(ready("dns", "127.0.0.1", ""));
  EXPECT_TRUE(ready("dns", "127.0.0.1", "registry.internal"));
  EXPECT_FALSE(ready("dns", "127.0.0.1", "registry"));
  EXPECT_FALSE(ready("ip", "127.0.0.1", "registry.internal"));
}

TEST(Tls, RejectsForeignAndExpiredCertificatesWithTheReason) {
  Authority authority;
  Authority other("another CA");
  other.Issue("server", "IP:127.0.0.1");
  authority.Issue("expired", "IP:127.0.0.1", -7200, -3600);
  authority.Issue("early", "IP:127.0.0.1", 3600, 7200);
  const auto client_error = [](Options client, Options server) {
    ContextPair contexts(std::move(client), std::move(server));
    SessionPair pair = Handshake(contexts.client, contexts.server, "127.0.0.1");
    EXPECT_FALSE(pair.client->ready());
    EXPECT_FALSE(pair.server->ready());  // it received the client's alert
    EXPECT_FALSE(pair.client->Send("secret", &pair.to_server));
    EXPECT_TRUE(pair.to_server.empty());
    return pair.client->error();
  };
  const Options client = TlsOptionsOf(authority, "");
  EXPECT_NE(client_error(client, TlsOptionsOf(other, "server", false)).find("issuer"), std::string::npos);
  EXPECT_NE(client_error(client, TlsOptionsOf(authority, "expired", false)).find("expired"),
            std::string::npos);
  EXPECT_NE(client_error(client, TlsOptionsOf(authority, "early", false)).find("not yet valid"),
            std::string::npos);
}

TEST(Tls, AServerWithACaAcceptsOnlyItsCertificates) {
  Authority authority;
  Authority other("another CA");
  authority.Issue("server", "IP:127.0.0.1");
  authority.Issue("client", "");
  other.Issue("client", "");
  Options foreign_client = TlsOptionsOf(other, "client");
  foreign_client.ca = authority.ca();
  const Options server = TlsOptionsOf(authority, "server");
  ContextPair valid(TlsOptionsOf(authority, "client"), server);
  ContextPair without_certificate(TlsOptionsOf(authority, ""), server);
  ContextPair foreign(foreign_client, server);
  EXPECT_TRUE(Handshake(valid.client, valid.server, "127.0.0.1").server->ready());
  for (ContextPair* contexts : {&without_certificate, &foreign}) {
    SessionPair pair = Handshake(contexts->client, contexts->server, "127.0.0.1");
    EXPECT_FALSE(pair.server->ready());
    EXPECT_FALSE(pair.client->error().empty());  // from the server's alert, after its own handshake
  }
}

TEST(Tls, BytesThatAreNotTlsFailTheSession) {
  Authority authority;
  authority.Issue("server", "IP:127.0.0.1");
  ContextPair contexts(TlsOptionsOf(authority, ""), TlsOptionsOf(authority, "server", false));
  const auto session = contexts.server.NewSession("");
  std::string plain;
  std::string out;
  EXPECT_FALSE(session->Receive("GET / HTTP/1.1\r\n\r\n", &plain, &out));
  EXPECT_NE(session->error().find("TLS"), std::string::npos);
  EXPECT_FALSE(session->Receive("more", &plain, &out));
  EXPECT_TRUE(plain.empty());
}

TEST(Tls, LoadsAllFilesOrNoneAndSessionsKeepTheirKeys) {
  Authority authority;
  authority.Issue("server", "IP:127.0.0.1");
  ContextPair contexts(TlsOptionsOf(authority, ""), TlsOptionsOf(authority, "server", false));
  SessionPair pair = Handshake(contexts.client, contexts.server, "127.0.0.1");
  // The certificate is replaced before its key.
  const std::string key = authority.File("server.key");
  std::filesystem::copy_file(key, authority.File("old.key"));
  authority.Issue("server", "IP:127.0.0.1", -3600, 10 * kCertificateDay);
  std::filesystem::copy_file(key, authority.File("new.key"));
  std::filesystem::copy_file(authority.File("old.key"), key,
                             std::filesystem::copy_options::overwrite_existing);
  const tls::TlsStatus mismatched = contexts.server.Load();
  ASSERT_FALSE(mismatched);
  EXPECT_EQ(mismatched.error().code, TlsErrorCode::kBadKey);
  EXPECT_NE(
      Describe(mismatched.error()).find(key + ": expected the PEM key of " + authority.File("server.pem")),
      std::string::npos)
      << Describe(mismatched.error());
  EXPECT_TRUE(Handshake(contexts.client, contexts.server, "127.0.0.1").client->ready());  // with the old keys
  std::filesystem::copy_file(authority.File("new.key"), key,
                             std::filesystem::copy_options::overwrite_existing);
  const tls::TlsStatus matching = contexts.server.Load();
  EXPECT_TRUE(matching) << Describe(matching.error());
  EXPECT_TRUE(Handshake(contexts.client, contexts.server, "127.0.0.1").client->ready());
  EXPECT_TRUE(pair.client->Send("still", &pair.to_server));
  pair.Exchange();
  EXPECT_EQ(pair.server_received, "still");
  const auto expiries = contexts.client.Expiries();
  ASSERT_EQ(expiries.size(), 1u);
  EXPECT_NEAR(static_cast<double>(expiries[0].not_after - time(nullptr)), 10.0 * kCertificateDay, 60.0);
}

TEST(Tls, NamesMissingAndUnusableFiles) {
  Authority authority;
  authority.Issue("a", "");
  std::ofstream(authority.File("text.pem")) << "no certificate\n";
  const auto load_error = [](Options options) {
    tls::Context context(tls::Side::kClient, std::move(options));
    const tls::TlsStatus loaded = context.Load();
    EXPECT_FALSE(loaded);
    EXPECT_EQ(context.NewSession("127.0.0.1"), nullptr);
    return loaded ? tls::TlsError() : loaded.error();
  };
  Options options = TlsOptionsOf(authority, "a");
  options.ca = authority.File("none.pem");
  tls::TlsError error = load_error(options);
  EXPECT_EQ(error.code, TlsErrorCode::kBadCa);
  EXPECT_NE(Describe(error).find(authority.File("none.pem") + ": expected PEM certificates"),
            std::string::npos);
  options = TlsOptionsOf(authority, "a");
  options.certificate = authority.File("text.pem");
  error = load_error(options);
  EXPECT_EQ(error.code, TlsErrorCode::kBadCertificate);
  EXPECT_NE(Describe(error).find(authority.File("text.pem") + ": expected a PEM certificate"),
            std::string::npos);
  options = TlsOptionsOf(authority, "a", false);
  error = load_error(options);
  EXPECT_EQ(error.code, TlsErrorCode::kNoCa);
  EXPECT_EQ(Describe(error), "expected a CA's file");
}

}  // namespace
}  // namespace mountflow::testing
