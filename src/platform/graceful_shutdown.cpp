#include "platform/graceful_shutdown.hpp"

#include <algorithm>

#include "platform/transport.hpp"

namespace mountflow::platform {

GracefulShutdown::State GracefulShutdown::Next(State state, Input input) {
  struct Transition {
    State from;
    Input input;
    State to;
  };
  static constexpr Transition kTransitions[] = {
      {State::kServing, Input::kSignal, State::kDraining},
      {State::kDraining, Input::kBusy, State::kDraining},
      {State::kDraining, Input::kFlushing, State::kDraining},
      {State::kDraining, Input::kIdle, State::kFinalTurn},
      {State::kFinalTurn, Input::kBusy, State::kDraining},
      {State::kFinalTurn, Input::kFlushing, State::kFinalTurn},
      {State::kFinalTurn, Input::kIdle, State::kStopped},
  };
  for (const Transition& transition : kTransitions) {
    if (transition.from == state && transition.input == input) return transition.to;
  }
  return state;
}

bool GracefulShutdown::Begin(Micros now) {
  if (state_ != State::kServing) return false;
  began_at_ = now;
  Apply(Input::kSignal);
  return true;
}

bool GracefulShutdown::CheckWork(Micros now, const Work& work) {
  if (state_ != State::kDraining && state_ != State::kFinalTurn) return false;
  if (now < began_at_ + kDrainTime) return false;
  const bool quiet = now >= work.last_arrival_at + kQuietTime;
  const bool busy =
      work.unanswered_requests || work.unfinished_clients || work.unconfirmed_terminations || !quiet;
  if (!busy || now >= StopBy()) return true;
  Apply(Input::kBusy);
  return false;
}

void GracefulShutdown::FinishTurn(Micros now, bool unsent) {
  // The kernel closes the sockets when the process exits, and bytes that were not sent by then are lost.
  const bool flushing = unsent && now < StopBy() + kFlushTime;
  Apply(flushing ? Input::kFlushing : Input::kIdle);
}

Micros GracefulShutdown::NextCheck(Micros now) const {
  switch (state_) {
    case State::kDraining:
      return now + kShutdownCheckInterval;
    case State::kFinalTurn:
      return now;
    case State::kServing:
    case State::kStopped:
      break;
  }
  return kNever;
}

Micros GracefulShutdown::StopBy() const {
  return began_at_ + std::min(kMaxRequestDeadline, longest_deadline_) + kStopMargin;
}

}  // namespace mountflow::platform
