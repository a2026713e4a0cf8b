// Decides when key files are loaded again and warns of certificates that expire. Free of I/O and clock.
//
// Files are checked every `check_interval`. Changed ones are loaded. When that fails (a certificate is there
// before its key), the old ones stay in use and loading is retried at each check until it succeeds, with one
// warning for each state of the files. There is one warning when a certificate expires in each of
// `warning_days`, and one a day after it has expired.
#ifndef MOUNTFLOW_TLS_RENEWAL_HPP_
#define MOUNTFLOW_TLS_RENEWAL_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "tls/context.hpp"
#include "tls/tls_error.hpp"

namespace mountflow::tls {

struct RenewalOptions {
  Micros check_interval = 10'000'000;
  std::vector<int> warning_days = {30, 14, 7, 3, 1};  // falling
};

class Renewal {
 public:
  explicit Renewal(RenewalOptions options = {}) : options_(std::move(options)) {}

  bool Due(Micros now) const { return now >= next_check_; }
  Micros NextTimer() const { return next_check_; }
  void CheckNow() { next_check_ = 0; }
  // `stamp` differs whenever the files do. True: load them now, and report the result to OnLoaded.
  bool CheckFiles(Micros now, const std::string& stamp);
  void OnLoaded(const TlsStatus& status);
  // All expiries that are known now.
  void CheckExpiries(Micros now, const std::vector<Expiry>& expiries);
  // Text for operators since the last call; a bounded number.
  std::vector<std::string> TakeWarnings();

 private:
  struct LastWarning {
    std::int64_t not_after = 0;
    std::int64_t days_left = 0;  // the threshold that was last warned of; 0 and below: days since the expiry
  };
  // The lowest threshold that this time left has reached; `none` when there is none.
  std::int64_t ReachedThreshold(std::int64_t seconds_left, std::int64_t none) const;
  void AddWarning(std::string text);

  const RenewalOptions options_;
  Micros next_check_ = 0;
  std::string checked_stamp_;                         // of the last check
  std::string loaded_stamp_;                          // of what is in use; empty: nothing yet
  std::string failed_stamp_;                          // of what could not be loaded, and was warned of
  std::map<std::string, LastWarning> last_warnings_;  // by Expiry::what
  std::vector<std::string> warnings_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_RENEWAL_HPP_
