// TLS by OpenSSL (1.2 and later), without I/O of its own: sessions turn bytes into bytes through memory. A
// client always checks the other side: its chain to the CA, its validity and its name. A server that is given
// a CA demands a certificate signed by it.
#ifndef MOUNTFLOW_TLS_CONTEXT_HPP_
#define MOUNTFLOW_TLS_CONTEXT_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "event_loop/connection_filter.hpp"
#include "tls/tls_error.hpp"

namespace mountflow::tls {

struct Options {
  std::string ca;           // PEM file: who may sign for the other side
  std::string certificate;  // PEM file: own chain; empty: none is shown
  std::string key;          // PEM file: own key
  std::string name;         // DNS name or IP that the other's certificate must bear; empty: as connected to
  bool on() const { return !ca.empty() || !certificate.empty(); }
};

enum class Side { kClient, kServer };

struct Expiry {
  std::string what;            // for operators
  std::int64_t not_after = 0;  // seconds since 1970
};

// Not thread-safe. Sessions do not refer to the context and may outlive it.
class Context {
 public:
  Context(Side side, Options options);
  ~Context();
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  // Loads all files or none: after an error what was loaded before stays in use. Sessions that are under way
  // keep the keys that they began with.
  [[nodiscard]] TlsStatus Load();
  // `host`: the address that is connected to, without its port. Null before the first successful Load.
  [[nodiscard]] std::unique_ptr<event_loop::ConnectionFilter> NewSession(const std::string& host);
  // Of the own certificate, and the earliest of the other side's chain as last seen.
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
