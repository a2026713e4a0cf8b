// Codes of the records in the simulator's frames. The codes of events and of actions are independent of each
// other.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_CODES_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_CODES_HPP_

#include <cstdint>

namespace mountflow::simulator_adapter {

// Records from the simulator. The comment on each code is the record's name in the simulator's documentation.
enum class EventCode : std::uint8_t {
  kStartInstance = 10,      // Provision
  kNodeListUpdate = 20,     // Fleet
  kTaskSubmitted = 30,      // Pending
  kTaskStarted = 40,        // Taken
  kAttemptEnded = 50,       // Answer
  kTaskCancelled = 60,      // Lapsed
  kTimerFired = 70,         // Due
  kHealthCheckResult = 80,  // CheckResult
  kPeerMessage = 90,        // NoteFrom
  kStopInstance = 100,      // Kill
  kTaskRecovered = 110,     // Existing
  kTaskProgress = 120,      // Note
  kNodeList = 130,          // Ledger
  kSelectInstance = 140,    // On
};

// Records to the simulator. The comments have the same meaning as those of EventCode.
enum class ActionCode : std::uint8_t {
  kPanic = 10,              // Panic
  kStartAttempt = 20,       // ClaimRoom
  kListNodes = 30,          // ListAll
  kWatchNodes = 40,         // KeepInformed
  kSetTimer = 50,           // Sleep
  kLogLine = 60,            // JournalLine
  kMigrateTask = 80,        // PlaceAgain
  kCancelAttempt = 90,      // StopAttempt
  kStartHealthCheck = 100,  // Inspect
  kSelectInstance = 110,    // OnBehalf
  kFailTask = 120,          // GiveUp
  kRejectTask = 140,        // TurnAway
};

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_CODES_HPP_
