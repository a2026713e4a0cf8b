// Selects which endpoint of a registry to read next, when, and whether by a full read or by following
// changes. Performs no I/O, reads no clock and uses no threads. Random numbers come from a seed.
//
//   - The first read is a full read. After it, changes are followed from the revision after the one read.
//   - After a connection failure, following resumes after the newest revision seen. The first failure of
//     a follow is retried at once at the same endpoint. Every other failure moves on to the next endpoint,
//     after a delay that grows with each consecutive failure.
//   - A compacted revision leads to a full read, because the changes in between cannot be recovered.
//   - An endpoint that serves an older revision than the newest one seen is behind. Its data is rejected, and
//     another endpoint is read.
//   - If every endpoint serves an older revision, or the endpoint that served the newest one does, the
//     registry was restored from a backup. The full read is then accepted, and revisions count from there.
//   - A blocking read does not detect a restore that happened before the read: it returns only when the
//     revision has counted up again past the requested one. Therefore a blocking read is brief if the
//     previous read failed or found a different revision.
//   - A read that receives no bytes within its timeout counts as a connection failure.
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
  // Longest time for which a read may receive no bytes.
  Micros full_read_timeout = 5'000'000;
  Micros follow_timeout = 15'000'000;  // longer than the interval of progress notices or a blocking read
};

enum class ReadKind { kNone, kFull, kFollow };

// One read at one endpoint.
struct ReadStep {
  ReadKind kind = ReadKind::kNone;
  std::size_t endpoint = 0;          // index into the list of endpoints
  std::uint64_t after_revision = 0;  // kFollow: only changes with greater revisions are read
  bool is_brief = false;             // kFollow: a blocking read waits briefly, to detect an earlier restore
};

// How to handle the result of a full read.
enum class ReadVerdict {
  kAccepted,
  kBehind,      // reject the result: the endpoint is behind
  kNewHistory,  // accept the result and discard the revisions known so far
};

// Schedules the reads of one registry client, one read at a time. Not thread-safe.
class EndpointSelector {
 public:
  EndpointSelector(EndpointSelectorOptions options, std::uint64_t seed)
      : options_(options), backoff_(options.backoff, seed) {}

  // Returns the read to start now, or kNone if one is in progress or none is due. One of the On... functions
  // ends the read.
  [[nodiscard]] ReadStep StartNextRead(Micros now);
  // Returns when the next read is due or, during a read, when it times out.
  [[nodiscard]] Micros NextTimer() const;
  // Records that bytes of the current read have arrived.
  void NoteActivity(Micros now) { active_at_ = now; }
  // Reports whether the current read has received no bytes within its timeout. The caller then ends the read
  // and calls OnConnectionFailure.
  [[nodiscard]] bool IsOverdue(Micros now) const;

  // Handles a full read that completed at `revision`.
  [[nodiscard]] ReadVerdict OnFullRead(Micros now, std::uint64_t revision);
  // Records that the followed endpoint has sent all changes up to `revision`.
  void OnProgress(Micros now, std::uint64_t revision);
  // Handles the compaction of changes after the newest revision seen: the next read is a full read.
  void OnCompaction(Micros now);
  // Ends the current read because its connection failed or timed out.
  void OnConnectionFailure(Micros now);
  // Ends the current read because the endpoint answered with unusable data or an error (for example: no
  // leader, not authorised). The next read goes to the next endpoint.
  void OnRejection(Micros now);
  // Discards the known revisions because the endpoint now belongs to a different cluster. Ends a follow, so
  // that a full read is next; a full read in progress continues.
  void OnNewHistory(Micros now);
  // Makes the next read a full read. If the current read is a follow, the caller has already ended it.
  void RequestFullRead(Micros now);

  // Returns the index of the current endpoint.
  [[nodiscard]] std::size_t endpoint() const { return endpoint_; }
  // Returns the newest revision seen.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // Returns the number of consecutive failures.
  [[nodiscard]] unsigned failures() const { return backoff_.failures(); }

 private:
  // Ends the current read. `advance`: moves on to the next endpoint even after the first consecutive failure.
  void EndWithFailure(Micros now, bool advance);

  EndpointSelectorOptions options_;
  Backoff backoff_;
  ReadKind current_read_ = ReadKind::kNone;
  bool full_read_needed_ = true;
  std::size_t endpoint_ = 0;
  std::size_t newest_revision_endpoint_ = 0;  // the endpoint that served revision_
  std::uint64_t revision_ = 0;
  bool is_revision_confirmed_ = false;      // the last read was a blocking one and found revision_ unchanged
  std::set<std::size_t> endpoints_behind_;  // endpoints that have since served an older revision
  Micros next_read_at_ = 0;
  Micros active_at_ = 0;  // when the current read last received bytes
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_ENDPOINT_SELECTOR_HPP_
