#include "daemon/turn_committer.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace mountflow::daemon {

bool TurnCommitter::CommitTurn() {
  HeldReplies& held_replies = *parts_.held_replies;
  held_replies.SetNodeActions(std::exchange(parts_.node_sessions->actions(), {}));
  std::optional<std::size_t> reply_bytes;
  if (!held_replies.IsCurrentTurnEmpty()) reply_bytes = held_replies.CurrentHttpBytes();
  const std::optional<std::uint64_t> number = parts_.durable_state->CommitTurn(reply_bytes);
  if (number) held_replies.CloseTurn(*number, parts_.loop->Now());
  return SendDurableTurns();
}

bool TurnCommitter::SendDurableTurns() {
  parts_.durable_state->UpdateStatus();
  parts_.admission->SetStorageBacklogAge(parts_.held_replies->OldestAge(parts_.loop->Now()));
  bool flushed = false;
  while (const std::optional<std::uint64_t> number = parts_.durable_state->NextDurableTurn()) {
    const HeldTurn turn = parts_.held_replies->ReleaseTurn(*number);
    parts_.node_connections->CarryOut(turn.node_actions);
    for (const HttpReply& reply : turn.http_replies) parts_.http_connections->SendHeld(reply);
    for (const event_loop::ConnId connection : turn.batch_connections) {
      parts_.batch_connections->Flush(connection);
      flushed = true;
    }
  }
  return flushed;
}

}  // namespace mountflow::daemon
