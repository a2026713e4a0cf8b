// A workload for storage::Log whose state can be checked after any crash. Record N has a known text, the
// state is the list of all records, and a snapshot contains that list.
#ifndef MOUNTFLOW_TESTS_SUPPORT_LOG_WORKLOAD_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_LOG_WORKLOAD_HPP_

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/log.hpp"

namespace mountflow::testing {

// Returns options with which a segment contains only a few commits.
inline storage::LogOptions SmallLogOptions() {
  storage::LogOptions options;
  options.segment_bytes = 300;
  options.max_record_bytes = 1000;
  return options;
}

// Returns the text of the record with this sequence.
inline std::string RecordText(std::uint64_t sequence) {
  return "record " + std::to_string(sequence) + std::string(sequence % 40, '.');
}

// The state that was replayed from a log.
struct LogState {
  std::vector<std::string> records;
  std::vector<storage::RecoveryNotice> notices;
  std::uint64_t snapshot_sequence = 0;  // sequence of the replayed snapshot; 0: none

  // Opens the log and replays it into this state, which must be empty.
  storage::StorageStatus Open(storage::Log* log) {
    storage::Replay replay;
    replay.snapshot = [this](std::uint64_t sequence, std::string_view state) {
      snapshot_sequence = sequence;
      for (std::size_t from = 0, end = 0; (end = state.find('\n', from)) != std::string_view::npos;
           from = end + 1)
        records.emplace_back(state.substr(from, end - from));
    };
    replay.record = [this](std::uint64_t sequence, std::string_view record) {
      EXPECT_EQ(sequence, records.size() + 1);
      records.emplace_back(record);
    };
    return log->Open(replay, &notices);
  }
  // Returns the text of a snapshot of this state: one line for each record.
  std::string Text() const {
    std::string text;
    for (const std::string& record : records) text += record + "\n";
    return text;
  }
  // Expects at least `count` records, which must be the first ones of the workload, in order.
  void ExpectPrefixOfAtLeast(std::uint64_t count) const {
    EXPECT_GE(records.size(), count);
    for (std::size_t i = 0; i < records.size(); ++i) EXPECT_EQ(records[i], RecordText(i + 1));
  }
};

// The number of records that RunWorkload commits if nothing fails.
constexpr std::uint64_t kWorkloadRecords = 73;

// Makes 30 commits of one to four records each, and three snapshots. Sets `durable` to the newest sequence
// that the log has reported as durable. A commit that fails is retried with one more record. Returns early
// when a commit has failed three times.
inline void RunWorkload(storage::Log* log, LogState* state, std::uint64_t* durable) {
  constexpr int kCommits = 30;
  constexpr int kMaxAttempts = 3;
  std::vector<std::string> pending;
  const auto add_record = [&] { pending.push_back(RecordText(state->records.size() + pending.size() + 1)); };
  for (int commit = 0; commit < kCommits; ++commit) {
    for (int i = 0; i <= commit % 4; ++i) add_record();
    bool committed = false;
    for (int attempt = 0; attempt < kMaxAttempts && !committed; ++attempt) {
      committed = log->Commit(pending).has_value();
      if (!committed) add_record();
    }
    if (!committed) return;
    for (std::string& record : pending) state->records.push_back(std::move(record));
    pending.clear();
    *durable = log->last_sequence();
    EXPECT_EQ(*durable, state->records.size());
    // A snapshot that fails only makes the next replay longer.
    if (commit % 9 == 8) static_cast<void>(log->WriteSnapshot(log->last_sequence(), state->Text()));
  }
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_LOG_WORKLOAD_HPP_
