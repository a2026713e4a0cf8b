// The terminations of one node that the node has not confirmed yet. A termination ends a running task, or an
// attempt that was cancelled after it was written. It is sent on the open connection, and again on each
// further connection until the node confirms it, because bytes that the kernel accepted may be lost with
// their connection.
//
// A termination is confirmed by a message of the node about the task, or by the reply to a health check that
// was sent after it on the same connection, because a node handles the messages of a connection in order. It
// is dropped when the process that ran the task is known to have ended, and kTerminationRetention after it
// was requested.
//
// Not thread-safe; the caller passes the time, which must not go backwards, and bounds the number of
// terminations.
#ifndef MOUNTFLOW_PLATFORM_PENDING_TERMINATIONS_HPP_
#define MOUNTFLOW_PLATFORM_PENDING_TERMINATIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "mountflow/scheduler.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// How long a termination is repeated at most, in microseconds. A node that is cut off for longer is expected
// to have been replaced.
inline constexpr Micros kTerminationRetention = 600'000'000;

// PendingTerminations stores what one node has still to confirm. Not thread-safe.
class PendingTerminations {
 public:
  // Adds a termination that is not sent yet. Has no effect if one of this uid is pending.
  void Add(Micros now, RequestUid uid);
  // Returns the next termination that was not sent on the open connection, for the caller to send it now, and
  // counts it as sent. `last_health_check` is the number of the last health check that was sent before it.
  // Returns no value if all were sent.
  [[nodiscard]] std::optional<RequestUid> TakeUnsent(Micros now, std::uint64_t last_health_check);
  // Records that the connection has ended: all that is pending has to be sent again.
  void MarkAllUnsent();
  // Removes the termination of `uid`. Returns false if none is pending.
  bool Remove(RequestUid uid);
  // Removes the terminations that were sent before the health check with this number.
  void RemoveSentBefore(std::uint64_t health_check);
  // Removes the terminations that were requested before `time`.
  void RemoveRequestedBefore(Micros time);
  void Clear();

  [[nodiscard]] bool Contains(RequestUid uid) const { return number_by_uid_.count(uid) > 0; }
  [[nodiscard]] bool empty() const { return pending_.empty(); }
  [[nodiscard]] std::size_t size() const { return pending_.size(); }
  // Returns when the oldest termination was sent on the open connection; kNever: it was not sent on it.
  [[nodiscard]] Micros OldestSentAt() const;
  // Returns when the oldest termination expires; kNever: none is pending.
  [[nodiscard]] Micros NextExpiry() const;

 private:
  struct Termination {
    RequestUid uid = 0;
    Micros requested_at = 0;
    Micros sent_at = kNever;              // on the open connection; kNever: not sent on it
    std::uint64_t last_health_check = 0;  // the last one that was sent before it
  };
  using Iterator = std::map<std::uint64_t, Termination>::iterator;

  Iterator Erase(Iterator termination);

  std::map<std::uint64_t, Termination> pending_;  // by number, in the order of requests
  std::unordered_map<RequestUid, std::uint64_t> number_by_uid_;
  std::uint64_t last_number_ = 0;
  std::uint64_t first_unsent_ = 0;  // no termination with this number or a higher one was sent
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_PENDING_TERMINATIONS_HPP_
