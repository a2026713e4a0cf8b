// Follows the node list in a key-value registry by blocking reads, sans-I/O:
// says which request to send next and when, and turns replies into views. The
// first view is full, later ones are changes.
#ifndef MOUNTFLOW_REGISTRY_FOLLOWER_HPP_
#define MOUNTFLOW_REGISTRY_FOLLOWER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.hpp"
#include "http/message.hpp"

namespace mountflow::registry {

struct FollowerOptions {
  std::string prefix = "mountflow/nodes/";
  std::string token;
  Micros wait = 10'000'000;        // of a blocking read
  Micros slack = 5'000'000;        // a reply later than the wait and this is taken to be lost
  Micros least_pause = 100'000;    // between reads, so that a flood of changes is folded
  Micros first_backoff = 200'000;  // after a failure, doubled up to
  Micros most_backoff = 5'000'000;
};

class Follower {
 public:
  explicit Follower(FollowerOptions options) : options_(std::move(options)) {}

  // The request to send now, if any; its end is told by OnReply or OnFailure.
  std::optional<std::string> Next(Micros now);
  Micros NextTimer() const;

  // A view to hand on, if the reply brought one.
  std::optional<core::ListView> OnReply(Micros now, const http::Message& reply);
  // The connection broke or an answer is overdue. True when a view of mode kFailed is due.
  void OnFailure(Micros now, const std::string& why);
  bool Overdue(Micros now) const { return out_ && now >= overdue_at_; }
  // The module asks to read anew.
  void AskAgain(Micros now);

  std::vector<std::string> TakeComplaints();
  std::uint64_t index() const { return index_; }

 private:
  FollowerOptions options_;
  std::uint64_t index_ = 0;
  bool out_ = false;
  bool has_view_ = false;
  Micros next_at_ = 0, overdue_at_ = 0, read_at_ = 0;
  unsigned failures_ = 0;
  std::map<std::string, std::pair<std::uint64_t, core::ListedNode>> seen_;  // key -> modify index, entry
  std::map<std::string, std::uint64_t> skipped_;  // key -> modify index of an entry that could not be read
  std::vector<std::string> complaints_;
};

}  // namespace mountflow::registry

#endif  // MOUNTFLOW_REGISTRY_FOLLOWER_HPP_
