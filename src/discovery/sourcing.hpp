// Where the node list is read from and when: the decisions of a registry client.
// Free of I/O, clock and threads; draws come from a seed.
//
// - It begins with a full read, then follows changes from the revision after it.
// - A break resumes from the last revision seen, at the same endpoint first; each
//   failure in a row waits longer (doubled, spread) and moves on to the next.
// - A revision that is compacted away is never guessed across: full read.
// - An endpoint that serves an older revision than was seen is behind: its word
//   is not taken, and another is asked. When every endpoint has said so, or the
//   one that told the newer revision itself says so, the registry's history
//   began anew (a restore): full read, and its revisions count from there.
// - Silence beyond the time in which something was due is a break.
#ifndef MOUNTFLOW_DISCOVERY_SOURCING_HPP_
#define MOUNTFLOW_DISCOVERY_SOURCING_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

struct SourcingOptions {
  std::size_t endpoints = 1;
  Micros first_backoff = 200'000;  // doubled up to
  Micros most_backoff = 5'000'000;
  double spread = 0.25;               // each wait is stretched by up to this share
  Micros read_timeout = 5'000'000;    // of a full read without any byte
  Micros quiet_timeout = 15'000'000;  // of a follow without any byte: progress notices or waits end sooner
};

enum class Task { kNone, kReadAll, kFollow };
struct Step {
  Task task = Task::kNone;
  std::size_t endpoint = 0;
  std::uint64_t after = 0;  // kFollow: changes with revisions above this
};

enum class Taken { kYes, kBehind, kNewHistory };

class Sourcing {
 public:
  Sourcing(SourcingOptions options, std::uint64_t seed) : options_(options), random_(seed) {}

  // What to begin now; once begun, one of the On... calls ends it.
  Step Next(Micros now);
  Micros NextTimer() const;
  // Some bytes came: the step is alive.
  void Heard(Micros now) { heard_ = now; }
  // True when the step under way has been silent for too long; the caller breaks it and calls OnBroken.
  bool Overdue(Micros now) const;

  // A full read is complete at this revision. kYes: take it. kBehind: do not. kNewHistory: take it, and
  // forget the revisions known so far.
  Taken OnAll(Micros now, std::uint64_t revision);
  // A change or a word of progress. False when the endpoint told an older revision than it promised.
  void OnProgress(Micros now, std::uint64_t revision);
  void OnCompacted(Micros now);
  void OnBroken(Micros now);
  // The endpoint answers but must not be believed now (no leader, not authorised, an error of its own).
  void OnRefused(Micros now);
  // What was followed is another registry now, whatever its revisions: all is read, and counts from there.
  void OnNewHistory(Micros now);
  void ReadAnew(Micros now);  // somebody wants the whole list

  std::size_t endpoint() const { return endpoint_; }
  std::uint64_t revision() const { return revision_; }
  unsigned failures() const { return failures_; }

 private:
  void Fail(Micros now, bool move_on);
  SourcingOptions options_;
  std::uint64_t random_;
  Task task_ = Task::kNone;
  bool need_all_ = true;
  std::size_t endpoint_ = 0;
  std::size_t teller_ = 0;        // endpoint that told the newest revision
  std::uint64_t revision_ = 0;    // newest seen
  std::set<std::size_t> behind_;  // endpoints that told an older one since
  unsigned failures_ = 0;
  Micros next_at_ = 0, heard_ = 0;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_SOURCING_HPP_
