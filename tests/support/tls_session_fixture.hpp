// Pairs of TLS sessions that exchange bytes in memory.
#ifndef MOUNTFLOW_TESTS_SUPPORT_TLS_SESSION_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_TLS_SESSION_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "tests/support/tls_fixture.hpp"
#include "tls/context.hpp"

namespace mountflow::testing {

// Returns options with the CA file and the files that Authority::Issue wrote for `name`. If `name` is empty,
// they contain no certificate.
inline tls::Options TlsOptionsOf(const Authority& authority, const std::string& name, bool with_ca = true) {
  tls::Options options;
  if (with_ca) options.ca = authority.ca();
  if (!name.empty()) {
    options.certificate = authority.File(name + ".pem");
    options.key = authority.File(name + ".key");
  }
  return options;
}

constexpr std::size_t kWholeMessage = std::size_t{1} << 20;

// A client session and a server session, connected by in-memory byte queues.
struct SessionPair {
  std::unique_ptr<event_loop::ConnectionFilter> client;
  std::unique_ptr<event_loop::ConnectionFilter> server;
  std::string to_server;
  std::string to_client;
  std::string server_received;
  std::string client_received;

  // Passes bytes in both directions, at most `piece_size` at a time, until none are pending.
  void Exchange(std::size_t piece_size = kWholeMessage) {
    constexpr int kMaxRounds = 100'000;
    for (int i = 0; i < kMaxRounds && !(to_server.empty() && to_client.empty()); ++i) {
      PassPiece(&to_server, server.get(), &server_received, &to_client, piece_size);
      PassPiece(&to_client, client.get(), &client_received, &to_server, piece_size);
    }
  }
  static void PassPiece(std::string* from, event_loop::ConnectionFilter* to, std::string* received,
                        std::string* reply, std::size_t piece_size) {
    const std::string piece = from->substr(0, piece_size);
    from->erase(0, piece.size());
    if (!piece.empty()) to->Receive(piece, received, reply);
  }
};

// Creates two sessions and runs their handshake, which may have failed on return.
inline SessionPair Handshake(tls::Context& client, tls::Context& server, const std::string& host,
                             std::size_t piece_size = kWholeMessage) {
  SessionPair pair;
  pair.client = client.NewSession(host);
  pair.server = server.NewSession("");
  pair.server->Start(&pair.to_client);
  pair.client->Start(&pair.to_server);
  pair.Exchange(piece_size);
  return pair;
}

// A client context and a server context with their files loaded.
struct ContextPair {
  tls::Context client;
  tls::Context server;
  ContextPair(tls::Options client_options, tls::Options server_options)
      : client(tls::Side::kClient, std::move(client_options)),
        server(tls::Side::kServer, std::move(server_options)) {
    const tls::TlsStatus client_loaded = client.Load();
    EXPECT_TRUE(client_loaded) << Describe(client_loaded.error());
    const tls::TlsStatus server_loaded = server.Load();
    EXPECT_TRUE(server_loaded) << Describe(server_loaded.error());
  }
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_TLS_SESSION_FIXTURE_HPP_
