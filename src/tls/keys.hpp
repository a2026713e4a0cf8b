// The key files of one side on disk: loads them, checks them for changes at the times that Renewal
// determines, and creates sessions.
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

// A Context whose files are reloaded when they change. Without TLS (options without files) it does nothing
// and creates no sessions. Not thread-safe.
class Keys {
 public:
  explicit Keys(Options options, Side side = Side::kClient)
      : on_(options.on()), context_(side, std::move(options)) {}
  // Reports whether TLS is configured.
  bool on() const { return on_; }
  // Loads the files for the first time. `now` is in microseconds.
  [[nodiscard]] TlsStatus Start(Micros now);
  // Checks the files if a check is due, and loads them if they have changed. Reports errors as warnings.
  void Poll(Micros now);
  // Makes the next Poll check the files.
  void CheckNow() { renewal_.CheckNow(); }
  // Returns when Poll must be called next, in microseconds; the largest value without TLS.
  Micros NextTimer() const { return on_ ? renewal_.NextTimer() : ~Micros{0}; }
  // Returns and clears the warnings for operators.
  std::vector<std::string> TakeWarnings() { return renewal_.TakeWarnings(); }
  // Creates the session for a connection to IP:PORT. Returns null without TLS.
  std::unique_ptr<event_loop::ConnectionFilter> Session(const std::string& address);

 private:
  // Returns modification time, size and inode of all files as text. At least one of them changes when a file
  // is replaced or written.
  std::string FileStamp() const;

  bool on_;
  Context context_;
  Renewal renewal_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_KEYS_HPP_
