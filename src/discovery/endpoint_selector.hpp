// Decides from which endpoint of a registry to read next, when, and whether by a full read or by following
// changes. Free of I/O, clock and threads; draws come from a seed.
//
// - The first read is a full one; then changes are followed from the revision after it.
// - A connection failure resumes from the newest revision seen, at the same endpoint first; each failure in a
//   row waits longer and goes on to the next endpoint.
// - A compacted revision leads to a full read: what lies between is never guessed.
// - An endpoint that serves an older revision than was seen is behind: its data is rejected and another
//   endpoint is read. When every endpoint serves an older one, or the endpoint that served the newest itself
//   does, the registry's history was restored from a backup: a full read follows, and revisions count from
//   there.
// - A read that blocks until the revision is passed is not woken by a restore before it: the registry has to
//   count up again. After a read that found another revision, and after a failure, the next one is brief.
// - Silence beyond the timeout of a read is a connection failure.
#ifndef MOUNTFLOW_DISCOVERY_ENDPOINT_SELECTOR_HPP_
#define MOUNTFLOW_DISCOVERY_ENDPOINT_SELECTOR_HPP_

#include <cstddef>
#include <cstdint>
#include <set>

#include "discovery/backoff.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

struct EndpointSelectorOptions {
  std::size_t endpoint_count = 1;
  BackoffOptions backoff;
  Micros full_read_timeout = 5'000'000;  // without any byte
  Micros follow_timeout = 15'000'000;    // without any byte; progress notices and blocking reads end sooner
};

enum class ReadKind { kNone, kFull, kFollow };

// One read at one endpoint.
struct ReadStep {
  ReadKind kind = ReadKind::kNone;
  std::size_t endpoint = 0;          // index into the list of endpoints
  std::uint64_t after_revision = 0;  // kFollow: changes with revisions above this
  bool is_brief = false;             // kFollow: a read that blocks ends soon, to find a restore before it
};

// What to do with the result of a full read.
enum class ReadVerdict {
  kAccepted,
  kBehind,      // reject it: the endpoint is behind
  kNewHistory,  // accept it, and forget the revisions known so far
};

// Not thread-safe.
class EndpointSelector {
 public:
  EndpointSelector(EndpointSelectorOptions options, std::uint64_t seed)
      : options_(options), backoff_(options.backoff, seed) {}

  // The read to start now; kNone where one is under way or none is due. One of the On... calls ends it.
  [[nodiscard]] ReadStep StartNextRead(Micros now);
  [[nodiscard]] Micros NextTimer() const;
  // Some bytes arrived for the read under way.
  void NoteActivity(Micros now) { active_at_ = now; }
  // True when the read under way was silent for too long; the caller ends it and calls OnConnectionFailure.
  [[nodiscard]] bool IsOverdue(Micros now) const;

  // A full read is complete, at this revision.
  [[nodiscard]] ReadVerdict OnFullRead(Micros now, std::uint64_t revision);
  // The followed endpoint has sent all changes up to this revision.
  void OnProgress(Micros now, std::uint64_t revision);
  // Changes after the newest revision seen are compacted away.
  void OnCompaction(Micros now);
  void OnConnectionFailure(Micros now);
  // The endpoint answers, but its data cannot be used now (no leader, not authorised, an error of its own).
  void OnRejection(Micros now);
  // The endpoint belongs to another cluster than before, whatever its revisions.
  void OnNewHistory(Micros now);
  // Makes the next read a full one. The caller has ended a follow that is under way.
  void RequestFullRead(Micros now);

  [[nodiscard]] std::size_t endpoint() const { return endpoint_; }
  // The newest revision seen.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] unsigned failures() const { return backoff_.failures(); }

 private:
  // `advance`: go on to the next endpoint even after the first failure of a row.
  void EndWithFailure(Micros now, bool advance);

  EndpointSelectorOptions options_;
  Backoff backoff_;
  ReadKind current_read_ = ReadKind::kNone;
  bool full_read_needed_ = true;
  std::size_t endpoint_ = 0;
  std::size_t newest_revision_endpoint_ = 0;  // that served revision_
  std::uint64_t revision_ = 0;
  bool is_revision_confirmed_ = false;      // the last read blocked and found revision_ unchanged
  std::set<std::size_t> endpoints_behind_;  // that served an older revision since
  Micros next_read_at_ = 0;
  Micros active_at_ = 0;  // when the read under way last received anything
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_ENDPOINT_SELECTOR_HPP_
