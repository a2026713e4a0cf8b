// One connection of a daemon to a node: received bytes and their requests, encoded replies, and the
// submission in progress.
#ifndef MOUNTFLOW_NODE_AGENT_PBS_SESSION_HPP_
#define MOUNTFLOW_NODE_AGENT_PBS_SESSION_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "node_agent/submitted_task.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_agent {

// The buffers and the protocol state of one connection. Not thread-safe.
class PbsSession {
 public:
  struct Submission {
    std::string attempt;
    SubmittedTask task;
    bool admission_requested = false;  // from the node
  };

  void AddInput(std::string_view bytes) { input_.append(bytes); }
  // Returns the next complete request, or nullopt if more bytes are needed. If the bytes are not a valid
  // request, it also returns nullopt, adds an error reply to the output and marks the session as closing.
  [[nodiscard]] std::optional<pbs_protocol::Request> ReadRequest();
  // Frees the bytes of the requests that were read. May defer this while few of them are buffered.
  void DiscardReadInput();
  void AddReply(const pbs_protocol::Reply& reply) { pbs_protocol::Encode(reply, &output_); }
  [[nodiscard]] std::string* output() { return &output_; }

  void CloseAfterOutput() { closing_ = true; }
  [[nodiscard]] bool closing() const { return closing_; }

  // Reports whether `attempt` is the submission in progress.
  [[nodiscard]] bool IsSubmitting(const std::string& attempt) const {
    return submission && submission->attempt == attempt;
  }
  // Reports whether `attempt` is the submission in progress and its admission was requested from the
  // node.
  [[nodiscard]] bool HasRequestedAdmission(const std::string& attempt) const {
    return IsSubmitting(attempt) && submission->admission_requested;
  }

  std::optional<Submission> submission;
  bool awaits_node = false;  // until the node's answer no request is read

 private:
  std::string input_, output_;
  std::size_t read_ = 0;          // bytes of input_ whose requests were read
  std::size_t needed_bytes_ = 1;  // unread bytes needed for the next request
  bool closing_ = false;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_PBS_SESSION_HPP_
