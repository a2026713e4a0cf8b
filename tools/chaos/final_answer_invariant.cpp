#include "tools/chaos/final_answer_invariant.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace mountflow::chaos {
namespace {

constexpr Micros kMicrosPerMilli = 1000;

// Reports whether a job must not run after this answer. The texts are those that the daemon sends.
bool SaysNotRunning(const std::string& answer) {
  return answer == "refused" || answer == "failed" || answer == "deleted";
}

}  // namespace

void FinalAnswerInvariant::OnAttempt(const Attempt& attempt, LogPosition position) {
  CheckNothingAfterAnswer(attempt, "an offer went out", position);
}

void FinalAnswerInvariant::OnCommit(const Attempt& attempt, LogPosition position) {
  CheckNothingAfterAnswer(attempt, "a commit went out", position);
}

void FinalAnswerInvariant::CheckNothingAfterAnswer(const Attempt& attempt, const char* what,
                                                   LogPosition position) {
  const auto it = model_->jobs().find(attempt.job);
  if (it == model_->jobs().end()) return;
  const Job& job = it->second;
  if (!SaysNotRunning(job.answer) || position.time <= job.answered.time + model_->head().allowance) return;
  verdict_->AddViolation(Invariant::kFinalAnswer, position.time,
                         std::string(what) + " for " + attempt.job + " after its answer '" + job.answer + "'",
                         {job.answered.line, position.line});
}

void FinalAnswerInvariant::OnFirstAnswer(const std::string& id, const Job& job, bool waited,
                                         LogPosition position) {
  if (!waited || position.time <= DueTime(job)) return;
  const Micros late = (position.time - job.deadline) / kMicrosPerMilli;
  verdict_->AddViolation(Invariant::kFinalAnswer, position.time,
                         id + " was answered " + std::to_string(late) + " ms after its owner's time",
                         {job.committed.line, position.line});
}

void FinalAnswerInvariant::OnLaterAnswer(const std::string& id, const Job& job, const std::string& answer,
                                         LogPosition position) {
  if (job.answer == answer) return;
  verdict_->AddViolation(Invariant::kFinalAnswer, position.time,
                         id + " has two answers: '" + job.answer + "' and '" + answer + "'",
                         {job.answered.line, position.line});
}

void FinalAnswerInvariant::OnUnknownJob(const std::string& id, const Job& job, LogPosition position) {
  verdict_->AddViolation(Invariant::kFinalAnswer, position.time,
                         id + " was committed, and its daemon does not know it any more",
                         {job.committed.line, position.line});
}

void FinalAnswerInvariant::OnEnd(Micros end_time) {
  for (const auto& [id, job] : model_->jobs()) CheckMissingAnswer(id, job, end_time);
  for (const auto& [id, job] : model_->jobs()) CheckPlacedWasAccepted(id, job);
}

void FinalAnswerInvariant::CheckMissingAnswer(const std::string& id, const Job& job, Micros end_time) {
  if (!job.answer.empty() || job.forgotten) return;  // OnUnknownJob() has reported a forgotten job
  const std::optional<std::size_t> gave_up = model_->ClientGaveUp(id);
  const bool waits = !job.waiting.empty() || gave_up;
  const bool log_ends_before_due = end_time <= DueTime(job);
  if (!waits || model_->WasDeleted(id) || log_ends_before_due) {
    ++verdict_->excused;
    return;
  }
  std::vector<std::size_t> lines = {job.committed.line};
  if (gave_up) lines.push_back(*gave_up);
  verdict_->AddViolation(Invariant::kFinalAnswer, job.deadline, id + " got no answer in its owner's time",
                         std::move(lines));
}

// Jobs with a key are not checked: the answer may refer to a task that another daemon started for the same
// key.
void FinalAnswerInvariant::CheckPlacedWasAccepted(const std::string& id, const Job& job) {
  if (job.answer != "placed" || job.has_key) return;
  const std::vector<const Attempt*> attempts = model_->AttemptsOfJob(id);
  const bool accepted = std::any_of(attempts.begin(), attempts.end(),
                                    [](const Attempt* attempt) { return attempt->is_accepted(); });
  if (accepted) return;
  verdict_->AddViolation(Invariant::kFinalAnswer, job.answered.time,
                         id + " was answered as placed, and no node accepted it", {job.answered.line});
}

Micros FinalAnswerInvariant::ExtendOverOutages(const std::string& daemon, Micros due) const {
  for (const Outage& outage : model_->OutagesOf(daemon)) {
    if (due < outage.from) continue;
    if (outage.to == kNever) {
      due = kNever;
    } else if (due <= outage.to + Slack()) {
      due = outage.to + Slack();
    }
  }
  return due;
}

Micros FinalAnswerInvariant::DueTime(const Job& job) const {
  return ExtendOverOutages(job.daemon, job.deadline + Slack());
}

Micros FinalAnswerInvariant::Slack() const { return model_->head().answer_slack + model_->head().allowance; }

}  // namespace mountflow::chaos
