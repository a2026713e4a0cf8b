#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace mountflow::admission {
namespace {

constexpr Micros kWindow = 100'000;      // averaging time of the busy share; shortest measurement of the cost
constexpr double kSaturatedShare = 0.9;  // busy share from which jobs ahead add to the expected wait
constexpr std::size_t kMinAnswers = 20;  // fewest answers for a measurement of the cost
constexpr double kSmoothing = 0.3;       // weight of one measurement in the estimate
constexpr double kMaxChange = 2.0;       // largest factor between one measurement and the estimate
constexpr double kMinCostPerJob = 10.0;  // microseconds
constexpr double kMaxCostPerJob = 100'000.0;  // microseconds
constexpr Micros kMinRetryAfter = 20'000;

}  // namespace

std::string_view Describe(AdmissionResult result) {
  switch (result) {
    case AdmissionResult::kAdmitted:
      return "";
    case AdmissionResult::kDeadlinePassed:
      return "the owner's time was over before the request was read";
    case AdmissionResult::kDeadlineUnreachable:
      return "no answer could come within the owner's time";
    case AdmissionResult::kQueueFull:
      return "as many submissions wait as may";
    case AdmissionResult::kStorageBacklog:
      return "the disk does not keep up";
    case AdmissionResult::kOverloaded:
      return "more work than this daemon gets done";
  }
  return "";
}

AdmissionController::AdmissionController(const AdmissionOptions& options)
    : options_(options), cost_per_job_(static_cast<double>(options.initial_cost_per_job)) {}

void AdmissionController::RecordLoopIteration(Micros began_at, Micros ended_at) {
  if (last_iteration_ended_at_ == 0) {
    last_iteration_ended_at_ = began_at;
    window_began_at_ = began_at;
  }
  began_at = std::max(began_at, last_iteration_ended_at_);
  ended_at = std::max(ended_at, began_at);
  UpdateBusyShare(ended_at - last_iteration_ended_at_, ended_at - began_at);
  last_iteration_ended_at_ = ended_at;
  worked_in_window_ += ended_at - began_at;
  if (ended_at - window_began_at_ < kWindow) return;
  UpdateCostPerJob();
  window_began_at_ = ended_at;
  worked_in_window_ = 0;
  answers_in_window_ = 0;
}

void AdmissionController::UpdateBusyShare(Micros period, Micros worked) {
  if (period == 0) return;
  const auto period_us = static_cast<double>(period);
  const double weight = std::min(1.0, period_us / static_cast<double>(kWindow));
  busy_share_ += weight * (static_cast<double>(worked) / period_us - busy_share_);
}

void AdmissionController::UpdateCostPerJob() {
  if (answers_in_window_ < kMinAnswers) return;
  const double measured = static_cast<double>(worked_in_window_) / static_cast<double>(answers_in_window_);
  // A stall (slow storage, a suspended process) says nothing about the cost of a job, so the influence of one
  // measurement is limited.
  const double bounded = std::clamp(measured, cost_per_job_ / kMaxChange, cost_per_job_ * kMaxChange);
  cost_per_job_ += kSmoothing * (bounded - cost_per_job_);
  cost_per_job_ = std::clamp(cost_per_job_, kMinCostPerJob, kMaxCostPerJob);
}

bool AdmissionController::saturated() const { return busy_share_ >= kSaturatedShare; }

std::size_t AdmissionController::MaxAdmissionsPerIteration() const {
  const auto affordable = std::lround(static_cast<double>(options_.iteration_budget) / cost_per_job_);
  return std::max<std::size_t>(1, static_cast<std::size_t>(affordable));
}

AdmissionDecision AdmissionController::Decide(const SubmissionState& submission) {
  const Micros now = submission.now;
  const Micros arrived_at = submission.arrived_at;
  const Micros client_time = submission.deadline > arrived_at ? submission.deadline - arrived_at : 0;
  const Micros waited = now > arrived_at ? now - arrived_at : 0;
  const auto allowed_share = static_cast<Micros>(options_.max_wait_share * static_cast<double>(client_time));
  const Micros allowed_wait = std::min(options_.max_wait, allowed_share);
  const auto jobs_ahead = static_cast<double>(submission.queued_ahead + submission.unanswered_jobs);
  const auto expected_wait = static_cast<Micros>(saturated() ? jobs_ahead * cost_per_job_ : 0.0);

  if (now >= submission.deadline) return {AdmissionResult::kDeadlinePassed, 0};
  if (waited + expected_wait >= client_time) {
    return Reject(submission, AdmissionResult::kDeadlineUnreachable, expected_wait);
  }
  if (submission.queued_ahead >= options_.max_queue_length) {
    return Reject(submission, AdmissionResult::kQueueFull, expected_wait);
  }
  if (storage_backlog_age_ > allowed_wait) {
    return Reject(submission, AdmissionResult::kStorageBacklog, storage_backlog_age_);
  }
  if (waited + expected_wait > allowed_wait) {
    return Reject(submission, AdmissionResult::kOverloaded, waited + expected_wait - allowed_wait);
  }
  return {};
}

AdmissionDecision AdmissionController::Reject(const SubmissionState& submission, AdmissionResult result,
                                              Micros drained_in) {
  const Micros now = submission.now;
  next_retry_at_ = std::max(next_retry_at_, now + std::max(drained_in, kMinRetryAfter));
  next_retry_at_ += static_cast<Micros>(cost_per_job_);
  // When the schedule reaches the longest Retry-After, all further clients get the same time; otherwise the
  // schedule would grow without bound.
  next_retry_at_ = std::min(next_retry_at_, now + options_.max_retry_after);
  AdmissionDecision decision{result, 0};
  if (next_retry_at_ < submission.deadline) decision.retry_after = next_retry_at_ - now;
  return decision;
}

}  // namespace mountflow::admission
