// Codes of the records in the simulator's frames. Events and actions number their records separately.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_CODES_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_CODES_HPP_

#include <cstdint>

namespace mountflow::simulator_adapter {

// From the simulator. Beside each code: the record's name in the simulator's documents.
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

// To the simulator.
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
