// TLS (1.2 and later) with OpenSSL. Does no I/O of its own: sessions encrypt and decrypt bytes in memory. A
// client always verifies the server's certificate: its chain to the CA, its validity period and its name. A
// server that has a CA requires a client certificate signed by it.
#ifndef MOUNTFLOW_TLS_CONTEXT_HPP_
#define MOUNTFLOW_TLS_CONTEXT_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "event_loop/connection_filter.hpp"
#include "tls/tls_error.hpp"

namespace mountflow::tls {

// Key files and the expected peer name of one side. TLS is off if no file is set.
struct Options {
  std::string ca;           // PEM file: CA certificates that the peer's chain must end in
  std::string certificate;  // PEM file: own chain; empty: no certificate is sent
  std::string key;          // PEM file: own private key
  std::string name;         // DNS name or IP in the server's certificate; empty: the host connected to
  bool on() const { return !ca.empty() || !certificate.empty(); }
};

enum class Side { kClient, kServer };

// The end of a certificate's validity.
struct Expiry {
  std::string description;     // certificate's name for operators
  std::int64_t not_after = 0;  // seconds since 1970
};

// Loads the key files of one side and creates its sessions. Not thread-safe. Sessions do not refer to the
// context and may outlive it.
class Context {
 public:
  Context(Side side, Options options);
  ~Context();
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  // Loads all files or none: after an error, the previously loaded ones stay in use. Existing sessions
  // continue with the keys that they started with.
  [[nodiscard]] TlsStatus Load();
  // Creates the session of one connection. `host` is the address connected to, without its port. Returns null
  // before the first successful Load.
  [[nodiscard]] std::unique_ptr<event_loop::ConnectionFilter> NewSession(const std::string& host);
  // Returns the expiry of the own certificate, and the earliest one in the peer's chain of the last completed
  // handshake.
  [[nodiscard]] std::vector<Expiry> Expiries() const;
  const Options& options() const { return options_; }

 private:
  struct Loaded;  // keeps OpenSSL out of this header

  Side side_;
  Options options_;
  std::unique_ptr<Loaded> loaded_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_CONTEXT_HPP_
