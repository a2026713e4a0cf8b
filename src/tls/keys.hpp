// The key files of one side on disk: loads them, checks them for changes when Renewal says so, and makes
// sessions.
#ifndef MOUNTFLOW_TLS_KEYS_HPP_
#define MOUNTFLOW_TLS_KEYS_HPP_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tls/context.hpp"
#include "tls/renewal.hpp"
#include "tls/tls_error.hpp"

namespace mountflow::tls {

// Not thread-safe. Without TLS (options without files) it does nothing and makes no sessions.
class Keys {
 public:
  explicit Keys(Options options, Side side = Side::kClient)
      : on_(options.on()), context_(side, std::move(options)) {}
  bool on() const { return on_; }
  // The first load.
  [[nodiscard]] TlsStatus Start(Micros now);
  // Checks the files if that is due, and loads changed ones. Errors become warnings.
  void Poll(Micros now);
  // Makes the next Poll check the files.
  void CheckNow() { renewal_.CheckNow(); }
  // When Poll has something to do; the greatest time without TLS.
  Micros NextTimer() const { return on_ ? renewal_.NextTimer() : ~Micros{0}; }
  // Text for operators since the last call.
  std::vector<std::string> TakeWarnings() { return renewal_.TakeWarnings(); }
  // For a connection to IP:PORT; null without TLS.
  std::unique_ptr<event_loop::ConnectionFilter> Session(const std::string& address);

 private:
  // Time, size and inode of all files: one that was replaced or written differs in one of them.
  std::string FileStamp() const;

  bool on_;
  Context context_;
  Renewal renewal_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_KEYS_HPP_
