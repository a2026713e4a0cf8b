// The state machine of a graceful shutdown, from SIGTERM until the process may exit. It does no I/O and reads
// no clock: the caller passes the time and the unfinished work, and does what the state requires.
//
//   state       input       next state
//   kServing    kSignal     kDraining    health checks fail from now on; new requests are still served
//   kDraining   kBusy       kDraining    requests are unanswered, terminations are unconfirmed, or new
//                                        requests may still arrive
//   kDraining   kFlushing   kDraining    all requests are answered; some bytes are not sent yet
//   kDraining   kIdle       kFinalTurn   one more turn reads what is left in the socket buffers
//   kFinalTurn  kBusy       kDraining    that turn brought new work
//   kFinalTurn  kFlushing   kFinalTurn   some bytes are not sent yet
//   kFinalTurn  kIdle       kStopped     the process may exit
//   any other pair leaves the state unchanged
//
// The shutdown takes a bounded time: from StopBy() on the input is never kBusy, and from StopBy() plus
// kFlushTime on it is never kFlushing.
#ifndef MOUNTFLOW_PLATFORM_GRACEFUL_SHUTDOWN_HPP_
#define MOUNTFLOW_PLATFORM_GRACEFUL_SHUTDOWN_HPP_

#include "mountflow/scheduler.hpp"

namespace mountflow::platform {

// The minimum time between the signal and the end of the process. The load balancer in front of the scheduler
// sends requests until it sees a failing health check.
inline constexpr Micros kDrainTime = 800'000;
// No further requests are expected once no launch message and no new connection arrived for this time.
inline constexpr Micros kQuietTime = 150'000;
// A longest request deadline above this value counts as this value. SIGKILL follows 0.7 s after that
// deadline.
inline constexpr Micros kMaxRequestDeadline = 3'000'000;
// The time from that deadline until the requests that are still unanswered are failed.
inline constexpr Micros kStopMargin = 500'000;
// The further time after that for clients to read their answers.
inline constexpr Micros kFlushTime = 150'000;
// The interval between checks for unfinished work while draining.
inline constexpr Micros kShutdownCheckInterval = 50'000;

// Decides when a process that got a signal to stop may exit. Not thread-safe.
class GracefulShutdown {
 public:
  enum class State { kServing, kDraining, kFinalTurn, kStopped };
  enum class Input { kSignal, kBusy, kFlushing, kIdle };

  // The work that keeps the process from exiting.
  struct Work {
    bool unanswered_requests = false;
    bool unfinished_clients = false;        // bytes for clients are unsent, or their messages are not handled
    Micros last_arrival_at = 0;             // of the latest launch message or new connection
    bool unconfirmed_terminations = false;  // nodes have still to confirm that they ended tasks
  };

  // `longest_deadline` is the longest time until the final answer to a request is due, in microseconds.
  explicit GracefulShutdown(Micros longest_deadline) : longest_deadline_(longest_deadline) {}

  // Starts the shutdown after a signal. Returns false if it was already started.
  bool Begin(Micros now);
  // Must be called at the end of each turn of the event loop. If it returns true, the caller must fail all
  // unanswered requests, send their answers, and call FinishTurn().
  [[nodiscard]] bool CheckWork(Micros now, const Work& work);
  // Updates the state at the end of such a turn. `unsent` tells whether bytes for clients are not sent yet,
  // or closed connections are not flushed yet.
  void FinishTurn(Micros now, bool unsent);

  [[nodiscard]] State state() const { return state_; }
  // Returns the time by which CheckWork() must be called again. kNever: not before the next event.
  [[nodiscard]] Micros NextCheck(Micros now) const;
  // Returns the next state according to the table above.
  [[nodiscard]] static State Next(State state, Input input);

 private:
  // Returns the time at which requests that are still unanswered are failed.
  [[nodiscard]] Micros StopBy() const;
  void Apply(Input input) { state_ = Next(state_, input); }

  Micros longest_deadline_;
  Micros began_at_ = 0;
  State state_ = State::kServing;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_GRACEFUL_SHUTDOWN_HPP_
