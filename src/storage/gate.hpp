// What may be said, and taken, while state is on its way to the disk: decisions, free
// of I/O, clock and threads.
//
// - What a turn says goes out once that turn is durable, in the order of the turns.
// - Nothing new is taken while commits fail, while more than `most_waiting` bytes of
//   records wait for a disk, and while more than `most_held` bytes of replies wait.
// - Replies beyond `most_held` are not kept: their askers are refused at once.
// - A snapshot is due when a log has grown by `snapshot_after` bytes since the last,
//   and not before the disk has all that the snapshot would let go of; one that failed
//   is tried again after `snapshot_again`.
#ifndef MOUNTFLOW_STORAGE_GATE_HPP_
#define MOUNTFLOW_STORAGE_GATE_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "storage/committer.hpp"

namespace mountflow::storage {

struct GateOptions {
  std::size_t most_waiting = 64u << 20;
  std::size_t most_held = 64u << 20;
  std::uint64_t snapshot_after = 64u << 20;
  Micros snapshot_again = 10'000'000;
};

class Gate {
 public:
  explicit Gate(GateOptions options) : options_(options) {}

  // `bytes` of replies, out of the turn that becomes durable with `turn`. Returns its number, from 1 upwards.
  std::uint64_t Hold(std::uint64_t turn, std::size_t bytes);
  // The oldest that may go out now; it is not held any more.
  std::optional<std::uint64_t> Next();
  bool Empty() const { return held_.empty(); }
  bool Full() const { return held_bytes_ > options_.most_held; }

  // What the logs say: that of the jobs, and another that must have all up to its `needs` before a snapshot
  // of the first lets go of it (null: there is none).
  void Saw(const CommitStatus& jobs, const CommitStatus* other, std::uint64_t needs);
  std::string Refusal() const;   // why nothing new is taken; empty: it is
  bool SnapshotDue(Micros now);  // true once; then again when it failed and its pause is over
  std::vector<std::string> TakeComplaints();

 private:
  struct Held {
    std::uint64_t turn = 0, number = 0;
    std::size_t bytes = 0;
  };
  GateOptions options_;
  std::deque<Held> held_;
  std::size_t held_bytes_ = 0;
  std::uint64_t number_ = 0;
  CommitStatus jobs_;
  std::string error_;        // of either log
  std::size_t waiting_ = 0;  // bytes, of the fuller one
  bool other_has_all_ = true;
  Micros snapshot_at_ = 0;
  std::vector<std::string> complaints_;
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_GATE_HPP_
