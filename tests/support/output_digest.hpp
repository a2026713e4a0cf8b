// Adds outputs of the job manager to a digest, field by field. The texts, the further fields and the event
// names of log entries are not included, so that they can be reworded. The levels of log entries, which the
// event table defines, are included.
#ifndef MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_

#include <variant>

#include "job_manager/messages.hpp"
#include "logging/event_table.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {

inline void AddAttempt(const job_manager::AttemptId& attempt, Digest* digest) {
  digest->Add(attempt.job);
  digest->Add(attempt.number);
}

// A visitor that adds one output to a digest.
struct OutputDigester {
  Digest* digest;

  void operator()(const job_manager::ResourceUsage& output) const {
    AddAttempt(output.attempt, digest);
    digest->Add(output.node);
    digest->Add(output.task_class);
    digest->Add(output.tenant);
    digest->Add(output.cores);
    digest->Add(output.memory);
    digest->Add(output.started);
    digest->Add(output.ended);
  }
  void operator()(const job_manager::PrepareAttempt& output) const { AddAtNode(output); }
  void operator()(const job_manager::CommitAttempt& output) const { AddAtNode(output); }
  void operator()(const job_manager::AbandonAttempt& output) const { AddAtNode(output); }
  void operator()(const job_manager::StopAttempt& output) const { AddAtNode(output); }
  void operator()(const job_manager::QueryAttempt& output) const { AddAtNode(output); }
  void operator()(const job_manager::SignalAttempt& output) const {
    AddAtNode(output);
    digest->Add(std::string_view(output.signal));
  }
  void operator()(const job_manager::ReconcileNode& output) const { digest->Add(output.node); }
  void operator()(const job_manager::FindKey& output) const {
    digest->Add(output.node);
    digest->Add(output.job);
    digest->Add(std::string_view(output.key));
  }
  void operator()(const job_manager::CheckNodeHealth& output) const { digest->Add(output.node); }
  void operator()(const job_manager::ForgetNode& output) const { digest->Add(output.node); }
  void operator()(const job_manager::JobAnswered& output) const { digest->Add(output.job); }
  void operator()(const job_manager::JobCompleted& output) const { digest->Add(output.job); }
  void operator()(const job_manager::ReadNodeList& output) const { digest->Add(output.follow); }
  void operator()(const job_manager::LogEntry& output) const {
    digest->Add(logging::InfoOf(output.event).level);
    digest->Add(output.job);
    digest->Add(output.attempt);
    digest->Add(std::string_view(output.node));
  }

 private:
  template <typename T>
  void AddAtNode(const T& output) const {
    AddAttempt(output.attempt, digest);
    digest->Add(output.node);
  }
};

// Adds the type and the fields of an output.
inline void AddOutput(const job_manager::Output& output, Digest* digest) {
  digest->Add(output.index());
  std::visit(OutputDigester{digest}, output);
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_
