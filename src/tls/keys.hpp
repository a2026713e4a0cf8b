// A client's key files on disk: loads them, looks at them again as Renewal
// decides, and makes sessions. The shell's part.
#ifndef MOUNTFLOW_TLS_KEYS_HPP_
#define MOUNTFLOW_TLS_KEYS_HPP_

#include <memory>
#include <string>
#include <vector>

#include "tls/context.hpp"
#include "tls/renewal.hpp"

namespace mountflow::tls {

class Keys {
 public:
  explicit Keys(Options options, Side side = Side::kClient)
      : on_(options.on()), context_(side, std::move(options)) {}
  bool on() const { return on_; }
  // The first load; false with the reason.
  bool Start(Micros now, std::string* error);
  void Poll(Micros now);
  void LookNow() { renewal_.LookNow(); }
  Micros NextTimer() const { return on_ ? renewal_.NextTimer() : ~Micros{0}; }
  std::vector<std::string> TakeComplaints() { return renewal_.TakeComplaints(); }
  // For a connection to IP:PORT; null without TLS.
  std::unique_ptr<event_loop::ConnectionFilter> Session(const std::string& address);

 private:
  std::string Stamp() const;
  bool on_;
  Context context_;
  Renewal renewal_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_KEYS_HPP_
