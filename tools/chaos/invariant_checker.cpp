#include "tools/chaos/invariant_checker.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "tools/chaos/draining_invariant.hpp"
#include "tools/chaos/duplicate_effect_invariant.hpp"
#include "tools/chaos/final_answer_invariant.hpp"
#include "tools/chaos/log_entry.hpp"
#include "tools/chaos/message_log_model.hpp"
#include "tools/chaos/slow_start_invariant.hpp"
#include "tools/chaos/topology_spread_invariant.hpp"

namespace mountflow::chaos {
namespace {

using pbs_protocol::RequestType;

// Applies each entry to the model and to the invariants that it concerns. The order of the calls matters: an
// attempt is checked before it is added to the model, and the invariants are checked by their numbers, so
// that violations found at the same time are reported in that order.
class InvariantChecker {
 public:
  InvariantChecker(HeadEntry head, Verdict* verdict)
      : verdict_(verdict),
        model_(std::move(head), verdict),
        final_answer_(&model_, verdict),
        duplicate_effect_(&model_, verdict),
        draining_(&model_, verdict),
        slow_start_(&model_, verdict),
        topology_spread_(&model_, verdict) {}

  void Apply(const LogEntry& entry, std::size_t line) {
    position_ = {entry.time, line};
    std::visit([this](const auto& content) { On(content); }, entry.content);
  }

  void Finish() {
    const Micros end_time = model_.end_time() == 0 ? position_.time : model_.end_time();
    final_answer_.OnEnd(end_time);
    duplicate_effect_.OnEnd(end_time);
  }

 private:
  void On(const std::monostate&) {}
  void On(const HeadEntry&) {}  // the head is decoded before; a log has no second one
  void On(const CloseEntry& entry) { model_.OnConnectionClosed(entry.connection, position_.time); }
  void On(const NodeListEntry& list) { model_.OnNodeList(list, position_); }
  void On(const EventEntry& event) { model_.OnEvent(event, position_); }

  void On(const RequestEntry& request) {
    model_.AddPendingRequest(request);
    switch (request.connection.point) {
      case ProxyPoint::kClient:
        return model_.OnClientRequest(request);
      case ProxyPoint::kReport:
        if (request.type == RequestType::kJobObit) model_.OnTaskReport(request.id, position_);
        return;
      case ProxyPoint::kNode:
        return OnNodeRequest(request);
      case ProxyPoint::kNodeList:
        return;
    }
  }

  void OnNodeRequest(const RequestEntry& request) {
    if (request.type == RequestType::kQueueJob) return OnAttempt(request);
    Attempt* const attempt = model_.FindAttempt(request.id);
    if (attempt == nullptr) return;
    if (request.type == RequestType::kCommit) {
      attempt->committed = position_;
      final_answer_.OnCommit(*attempt, position_);
    }
    const bool abandoned = request.type == RequestType::kDeleteJob && !attempt->is_accepted();
    if (abandoned) MessageLogModel::EndAttempt(attempt, position_.time);
  }

  void OnAttempt(const RequestEntry& request) {
    Attempt attempt = model_.MakeAttempt(request, position_);
    final_answer_.OnAttempt(attempt, position_);
    duplicate_effect_.OnAttempt(attempt, position_);
    draining_.OnAttempt(attempt, position_);
    slow_start_.OnAttempt(attempt, position_);
    topology_spread_.OnAttempt(attempt, position_);
    model_.AddAttempt(std::move(attempt));
  }

  void On(const ReplyEntry& reply) {
    const std::optional<RequestEntry> request = model_.TakePendingRequest(reply.connection);
    if (!request) {
      verdict_->AddViolation(Invariant::kLogConsistency, position_.time,
                             "a reply to nothing that was asked, on connection " + Describe(reply.connection),
                             {position_.line});
      return;
    }
    switch (reply.connection.point) {
      case ProxyPoint::kClient:
        return OnClientReply(*request, reply);
      case ProxyPoint::kNode:
        return model_.OnNodeReply(*request, reply, position_);
      case ProxyPoint::kReport:
      case ProxyPoint::kNodeList:
        return;
    }
  }

  void OnClientReply(const RequestEntry& request, const ReplyEntry& reply) {
    const bool succeeded = reply.code == pbs_protocol::Code::kNone;
    if (request.type == RequestType::kCommit && succeeded) model_.OnJobCommitted(reply, position_);
    if (request.type != RequestType::kStatusJob) return;
    if (reply.code == pbs_protocol::Code::kUnknownJob) OnUnknownJob(request.id, reply.connection);
    for (const StatusObjectEntry& object : reply.objects) OnStatus(request, reply.connection, object);
  }

  // Ignores replies of other daemons: only the daemon that committed a job has to know it.
  void OnUnknownJob(const std::string& id, const ConnectionId& connection) {
    Job* const job = model_.FindJob(id);
    if (job == nullptr || job->daemon != connection.peer) return;
    final_answer_.OnUnknownJob(id, *job, position_);
    job->waiting.erase(connection);
    job->forgotten = true;
  }

  void OnStatus(const RequestEntry& request, const ConnectionId& connection,
                const StatusObjectEntry& object) {
    Job* const job = model_.FindJob(object.name);
    if (job == nullptr || object.answer.empty()) return;
    job->waiting.erase(connection);
    if (!job->answer.empty()) {
      return final_answer_.OnLaterAnswer(object.name, *job, object.answer, position_);
    }
    model_.OnFinalAnswer(job, object.answer, position_);
    final_answer_.OnFirstAnswer(object.name, *job, request.WaitsForAnswer(), position_);
  }

  void On(const ClientEntry& entry) {
    if (entry.kind == ClientEventKind::kGaveUp) model_.OnClientGaveUp(entry.job, position_);
    if (entry.kind != ClientEventKind::kAnswer) return;
    const Job* const job = model_.FindJob(entry.job);
    if (job == nullptr) return;
    if (entry.answer == "none" || entry.answer == job->answer) return;
    verdict_->AddViolation(Invariant::kLogConsistency, position_.time,
                           "the client's log has the answer '" + entry.answer + "' for " + entry.job +
                               ", the traffic '" + job->answer + "'",
                           {job->answered.line, position_.line});
  }

  Verdict* verdict_;
  MessageLogModel model_;
  FinalAnswerInvariant final_answer_;
  DuplicateEffectInvariant duplicate_effect_;
  DrainingInvariant draining_;
  SlowStartInvariant slow_start_;
  TopologySpreadInvariant topology_spread_;
  LogPosition position_;
};

std::string DescribeLine(std::size_t line, const LogEntryError& error) {
  return "line " + std::to_string(line) + ": " + Describe(error);
}

}  // namespace

Verdict CheckInvariants(const std::vector<nlohmann::json>& log) {
  Verdict verdict;
  if (log.empty() || !log[0].contains("k") || log[0]["k"] != "head") {
    verdict.error = "line 1: expected the head of a record";
    return verdict;
  }
  tl::expected<LogEntry, LogEntryError> head = DecodeLogEntry(log[0]);
  if (!head) {
    verdict.error = DescribeLine(1, head.error());
    return verdict;
  }
  InvariantChecker checker(std::get<HeadEntry>(std::move(head->content)), &verdict);
  for (std::size_t i = 1; i < log.size(); ++i) {
    const tl::expected<LogEntry, LogEntryError> entry = DecodeLogEntry(log[i]);
    if (!entry) {
      verdict.error = DescribeLine(i + 1, entry.error());
      return verdict;
    }
    checker.Apply(*entry, i + 1);
  }
  checker.Finish();
  std::stable_sort(verdict.violations.begin(), verdict.violations.end(),
                   [](const Violation& a, const Violation& b) { return a.time < b.time; });
  return verdict;
}

}  // namespace mountflow::chaos
