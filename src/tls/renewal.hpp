// When key files are loaded anew and what is said of certificates that end:
// decisions, free of I/O and clock.
//
// Files are looked at every `look_every`. Changed ones are loaded; when that
// fails (a certificate is there before its key), the old ones stay and it is
// tried again at each look until it succeeds, with one complaint for each state of
// the files. A certificate's end is told when it is `days` away, each time once,
// and daily when it has passed.
#ifndef MOUNTFLOW_TLS_RENEWAL_HPP_
#define MOUNTFLOW_TLS_RENEWAL_HPP_

#include <map>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "tls/context.hpp"

namespace mountflow::tls {

struct RenewalOptions {
  Micros look_every = 10'000'000;
  std::vector<int> days = {30, 14, 7, 3, 1};  // falling
};

class Renewal {
 public:
  explicit Renewal(RenewalOptions options = {}) : options_(std::move(options)) {}
  bool Due(Micros now) const { return now >= next_; }
  Micros NextTimer() const { return next_; }
  void LookNow() { next_ = 0; }
  // What the files look like; true: load them now, and tell by Loaded.
  bool Look(Micros now, const std::string& files);
  void Loaded(bool good, const std::string& error);
  // The ends known now.
  void Consider(Micros now, const std::vector<Expiry>& ends);
  std::vector<std::string> TakeComplaints();

 private:
  void Complain(std::string text);
  struct Told {
    std::int64_t not_after = 0;
    long step = 0;  // the last threshold told, or days since the end
  };
  RenewalOptions options_;
  Micros next_ = 0;
  std::string seen_, loaded_, complained_;
  std::map<std::string, Told> told_;
  std::vector<std::string> complaints_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_RENEWAL_HPP_
