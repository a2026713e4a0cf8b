// Invariant 1: every committed job for whose answer a client waits receives exactly one final answer by its
// deadline. After an answer that the job does not run, no attempt is sent or committed for it.
#ifndef MOUNTFLOW_TOOLS_CHAOS_FINAL_ANSWER_INVARIANT_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_FINAL_ANSWER_INVARIANT_HPP_

#include <string>

#include "tools/chaos/message_log_model.hpp"

namespace mountflow::chaos {

class FinalAnswerInvariant {
 public:
  FinalAnswerInvariant(const MessageLogModel* model, Verdict* verdict) : model_(model), verdict_(verdict) {}

  // Checks an attempt. Must be called before the attempt is added to the model.
  void OnAttempt(const Attempt& attempt, LogPosition position);
  void OnCommit(const Attempt& attempt, LogPosition position);
  // Checks the first answer to a job. Must be called after the answer is added to the model. `waited`: the
  // answer is the reply to a request that waited for it.
  void OnFirstAnswer(const std::string& id, const Job& job, bool waited, LogPosition position);
  void OnLaterAnswer(const std::string& id, const Job& job, const std::string& answer, LogPosition position);
  // Reports that the daemon that committed the job replied that it does not know the job.
  void OnUnknownJob(const std::string& id, const Job& job, LogPosition position);
  void OnEnd(Micros end_time);

 private:
  void CheckNothingAfterAnswer(const Attempt& attempt, const char* what, LogPosition position);
  void CheckMissingAnswer(const std::string& id, const Job& job, Micros end_time);
  void CheckPlacedWasAccepted(const std::string& id, const Job& job);
  // Returns `due`, moved to after the restart of the daemon if the answer falls due while the daemon is down
  // or shortly after, because a daemon that is down cannot answer.
  [[nodiscard]] Micros ExtendOverOutages(const std::string& daemon, Micros due) const;
  // Returns the time by which the answer to the job must have been sent.
  [[nodiscard]] Micros DueTime(const Job& job) const;
  // Returns the time in microseconds that an answer may be late.
  [[nodiscard]] Micros Slack() const;

  const MessageLogModel* model_;
  Verdict* verdict_;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_FINAL_ANSWER_INVARIANT_HPP_
