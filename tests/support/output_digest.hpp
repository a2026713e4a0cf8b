// Adds outputs of the job manager to a digest, field by field. Texts and event names of log entries are left
// out: they may be reworded.
#ifndef MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_

#include <variant>

#include "job_manager/messages.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {

inline void AddAttempt(const job_manager::AttemptId& attempt, Digest* digest) {
  digest->Add(attempt.job);
  digest->Add(attempt.number);
}

struct OutputDigester {
  Digest* digest;

  void operator()(const job_manager::ResourceUsage& o) const {
    AddAttempt(o.attempt, digest);
    digest->Add(o.node);
    digest->Add(o.task_class);
    digest->Add(o.tenant);
    digest->Add(o.cores);
    digest->Add(o.memory);
    digest->Add(o.started);
    digest->Add(o.ended);
  }
  void operator()(const job_manager::PrepareAttempt& o) const { AddAtNode(o); }
  void operator()(const job_manager::CommitAttempt& o) const { AddAtNode(o); }
  void operator()(const job_manager::AbandonAttempt& o) const { AddAtNode(o); }
  void operator()(const job_manager::StopAttempt& o) const { AddAtNode(o); }
  void operator()(const job_manager::QueryAttempt& o) const { AddAtNode(o); }
  void operator()(const job_manager::SignalAttempt& o) const {
    AddAtNode(o);
    digest->Add(std::string_view(o.signal));
  }
  void operator()(const job_manager::ReconcileNode& o) const { digest->Add(o.node); }
  void operator()(const job_manager::FindKey& o) const {
    digest->Add(o.node);
    digest->Add(o.job);
    digest->Add(std::string_view(o.key));
  }
  void operator()(const job_manager::CheckNodeHealth& o) const { digest->Add(o.node); }
  void operator()(const job_manager::ForgetNode& o) const { digest->Add(o.node); }
  void operator()(const job_manager::JobAnswered& o) const { digest->Add(o.job); }
  void operator()(const job_manager::JobCompleted& o) const { digest->Add(o.job); }
  void operator()(const job_manager::ReadNodeList& o) const { digest->Add(o.follow); }
  void operator()(const job_manager::LogEntry& o) const {
    digest->Add(o.level);
    digest->Add(o.job);
    digest->Add(o.attempt);
    digest->Add(std::string_view(o.node));
  }

 private:
  template <typename T>
  void AddAtNode(const T& o) const {
    AddAttempt(o.attempt, digest);
    digest->Add(o.node);
  }
};

inline void AddOutput(const job_manager::Output& output, Digest* digest) {
  digest->Add(output.index());
  std::visit(OutputDigester{digest}, output);
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_
