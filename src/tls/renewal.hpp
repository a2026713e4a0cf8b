// Decides when key files are reloaded, and warns of expiring certificates. Does no I/O and reads no clock.
//
// Files are checked every `check_interval` and reloaded if they have changed. If that fails (for example
// because a certificate was replaced before its key), the old ones stay in use. Loading is then retried at
// each check until it succeeds, with one warning for each state of the files. There is one warning when the
// time to a certificate's expiry falls to each of `warning_days`, and one a day after it has expired.
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
  Micros check_interval = 10'000'000;                 // microseconds
  std::vector<int> warning_days = {30, 14, 7, 3, 1};  // days before the expiry, in descending order
};

// Tracks the state of the key files and the warnings given. All times are in microseconds unless noted.
class Renewal {
 public:
  explicit Renewal(RenewalOptions options = {}) : options_(std::move(options)) {}

  // Reports whether the files must be checked now.
  bool Due(Micros now) const { return now >= next_check_; }
  // Returns when the next check is due.
  Micros NextTimer() const { return next_check_; }
  // Makes the next check due at once.
  void CheckNow() { next_check_ = 0; }
  // Records a check of the files. `stamp` identifies their present state. Returns true if the caller must
  // load them now and pass the result to OnLoaded.
  bool CheckFiles(Micros now, const std::string& stamp);
  // Records the result of a load.
  void OnLoaded(const TlsStatus& status);
  // Adds a warning for each expiry that has reached a new threshold. `expiries` holds all that are known now.
  void CheckExpiries(Micros now, const std::vector<Expiry>& expiries);
  // Returns and clears the warnings for operators, of which a bounded number is stored.
  std::vector<std::string> TakeWarnings();

 private:
  struct LastWarning {
    std::int64_t not_after = 0;  // seconds since 1970
    std::int64_t days_left = 0;  // threshold of the last warning; 0 or less: minus the days since the expiry
  };
  // Returns the lowest threshold that `seconds_left` has reached; `none` if it has reached none.
  std::int64_t ReachedThreshold(std::int64_t seconds_left, std::int64_t none) const;
  void AddWarning(std::string text);

  const RenewalOptions options_;
  Micros next_check_ = 0;
  std::string checked_stamp_;  // state of the files at the last check
  std::string loaded_stamp_;   // state of the files in use; empty before the first load
  std::string failed_stamp_;   // state of the files of the last warning about a failed load
  std::map<std::string, LastWarning> last_warnings_;  // by Expiry::description
  std::vector<std::string> warnings_;
};

}  // namespace mountflow::tls

#endif  // MOUNTFLOW_TLS_RENEWAL_HPP_
