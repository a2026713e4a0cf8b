// TLS by OpenSSL (1.2 and later), sans-I/O: sessions turn bytes into bytes
// through memory. A client always checks the other side: its chain to the CA, its
// time, and its name. A server that is given a CA asks for certificates by it.
//
// Load takes all files or none: what was loaded before stands when it fails, and
// sessions that are under way keep the keys they began with.
#ifndef MOUNTFLOW_TLS_CONTEXT_HPP_
#define MOUNTFLOW_TLS_CONTEXT_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "event_loop/connection_filter.hpp"

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
  std::string what;
  std::int64_t not_after = 0;  // seconds since 1970
};

class Context {
 public:
  Context(Side side, Options options);
  ~Context();
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  // False with "FILE: expected ...".
  bool Load(std::string* error);
  // `host`: the address that is connected to, without its port. Null before the first successful Load.
  std::unique_ptr<event_loop::ConnectionFilter> NewSession(const std::string& host);
  // Own certificate, and the soonest of the other side's chain as last seen.
  std::vector<Expiry> Expiries() const;
  const Options& options() const { return options_; }

  struct Impl;

 private:
  Side side_;
  Options options_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_CONTEXT_HPP_
