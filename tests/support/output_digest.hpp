// Adds what the core says to a digest, field by field. Texts and names of log entries are left out: they may
// be reworded.
#ifndef MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_

#include <variant>

#include "core/messages.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {

inline void AddAttempt(const core::AttemptId& attempt, Digest* digest) {
  digest->Add(attempt.job);
  digest->Add(attempt.number);
}

struct OutputDigester {
  Digest* digest;

  void operator()(const core::Used& o) const {
    AddAttempt(o.attempt, digest);
    digest->Add(o.node);
    digest->Add(o.task_class);
    digest->Add(o.tenant);
    digest->Add(o.cores);
    digest->Add(o.memory);
    digest->Add(o.started);
    digest->Add(o.ended);
  }
  void operator()(const core::AskNode& o) const { AddAtNode(o); }
  void operator()(const core::CommitNode& o) const { AddAtNode(o); }
  void operator()(const core::AbandonAsk& o) const { AddAtNode(o); }
  void operator()(const core::StopOnNode& o) const { AddAtNode(o); }
  void operator()(const core::QueryNode& o) const { AddAtNode(o); }
  void operator()(const core::SignalOnNode& o) const {
    AddAtNode(o);
    digest->Add(std::string_view(o.signal));
  }
  void operator()(const core::SyncNode& o) const { digest->Add(o.node); }
  void operator()(const core::FindKey& o) const {
    digest->Add(o.node);
    digest->Add(o.job);
    digest->Add(std::string_view(o.key));
  }
  void operator()(const core::ProbeNode& o) const { digest->Add(o.node); }
  void operator()(const core::ForgetNode& o) const { digest->Add(o.node); }
  void operator()(const core::Answered& o) const { digest->Add(o.job); }
  void operator()(const core::Ended& o) const { digest->Add(o.job); }
  void operator()(const core::AskList& o) const { digest->Add(o.follow); }
  void operator()(const core::LogEntry& o) const {
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

inline void AddOutput(const core::Output& output, Digest* digest) {
  digest->Add(output.index());
  std::visit(OutputDigester{digest}, output);
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_OUTPUT_DIGEST_HPP_
