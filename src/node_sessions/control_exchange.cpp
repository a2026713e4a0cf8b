#include "node_sessions/control_exchange.hpp"

#include <cstdint>
#include <limits>
#include <utility>

#include "pbs_server/attribute_mapping.hpp"
#include "pbs_server/attribute_values.hpp"

namespace mountflow::node_sessions {
namespace {

using job_manager::NodeMessage;
using pbs_protocol::RequestType;

constexpr unsigned kManageCommandDelete = 1;
// Makes a node add the start of its process to its reply.
const pbs_protocol::Attribute kProcessStartRequest = {"process_started", "", "", pbs_protocol::Op::kSet};
// Stands for a task class that cannot be decoded. The job manager does not recover a task of this class.
constexpr unsigned kUnknownClass = std::numeric_limits<unsigned>::max();

bool IsSuccess(const pbs_protocol::Reply& reply) { return reply.code == pbs_protocol::Code::kNone; }

// Reports whether the reply says whether the node has the attempt. Any other error says nothing about it, and
// must not be taken for its absence.
bool SaysWhetherKnown(const pbs_protocol::Reply& reply) {
  return IsSuccess(reply) || reply.code == pbs_protocol::Code::kUnknownJob;
}

// ---- Encoding ----

struct RequestFiller {
  const SessionContext& context;
  pbs_protocol::Request& request;

  void operator()(const job_manager::StopAttempt& stop) const {
    request.type = RequestType::kDeleteJob;
    request.command = kManageCommandDelete;
    request.id = context.job_manager->AttemptName(stop.attempt);
    request.attributes.push_back(kProcessStartRequest);
  }
  void operator()(const job_manager::SignalAttempt& signal) const {
    request.type = RequestType::kSignalJob;
    request.id = context.job_manager->AttemptName(signal.attempt);
    request.signal = signal.signal;
  }
  void operator()(const job_manager::QueryAttempt& query) const {
    request.type = RequestType::kStatusJob;
    request.id = context.job_manager->AttemptName(query.attempt);
    request.attributes.push_back(kProcessStartRequest);
  }
  void operator()(const job_manager::ReconcileNode& /*reconcile*/) const {
    request.type = RequestType::kStatusJob;
    request.attributes.push_back(
        {"server", "", context.job_manager->options().server, pbs_protocol::Op::kEq});
    request.attributes.push_back({"report_to", "", context.options.report_to, pbs_protocol::Op::kSet});
    request.attributes.push_back(kProcessStartRequest);
  }
  void operator()(const job_manager::FindKey& find) const {
    request.type = RequestType::kSelectJobs;
    request.attributes.push_back(
        {"key", "", pbs_server::FormatUserKey(find.user, find.key), pbs_protocol::Op::kEq});
  }
  void operator()(const job_manager::CheckNodeHealth& /*check*/) const {
    request.type = RequestType::kStatusServer;
  }
};

// ---- Decoding ----

// Returns an attribute of the node itself that is a time in microseconds; no value if the reply lacks it.
std::optional<Micros> ReadNodeTime(const pbs_protocol::Reply& reply, const char* name) {
  for (const pbs_protocol::StatusObject& object : reply.objects) {
    if (object.type != pbs_protocol::ObjectType::kServer) continue;
    const auto time = pbs_server::ParseCount(pbs_protocol::ValueOf(object.attributes, name));
    if (time) return *time;
  }
  return std::nullopt;
}

std::optional<Micros> ReadProcessStart(const pbs_protocol::Reply& reply) {
  return ReadNodeTime(reply, "process_started");
}

// Converts a job that a node reports as held. Returns nothing if the job is not an attempt of this daemon.
std::optional<job_manager::ReportedAttempt> ReadHeldJob(const SessionContext& context,
                                                        const pbs_protocol::StatusObject& object) {
  job_manager::ReportedAttempt held;
  std::string server;
  if (!context.job_manager->ParseAttemptName(object.name, &held.attempt, &server)) return std::nullopt;
  if (server != context.job_manager->options().server) return std::nullopt;
  held.ended = pbs_protocol::ValueOf(object.attributes, "job_state") == "E";
  held.spec.user = pbs_protocol::ValueOf(object.attributes, "Job_Owner");
  pbs_protocol::Attributes attributes = object.attributes;
  std::erase_if(attributes, [](const pbs_protocol::Attribute& attribute) {
    return attribute.name == "job_state" || attribute.name == "Job_Owner" || attribute.name == "queue";
  });
  const std::string queue(pbs_protocol::ValueOf(object.attributes, "queue"));
  const pbs_server::AttributeResult decoded =
      pbs_server::DecodeSubmission(attributes, queue, context.vocabulary, &held.spec);
  if (!decoded) held.spec.task_class = kUnknownClass;
  return held;
}

job_manager::NodeReconciled ReadReconciliation(const SessionContext& context, NodeId node,
                                               const pbs_protocol::Reply& reply) {
  job_manager::NodeReconciled reconciled;
  reconciled.node = node;
  reconciled.started = ReadNodeTime(reply, "started").value_or(0);
  reconciled.process_started = ReadProcessStart(reply);
  for (const pbs_protocol::StatusObject& object : reply.objects) {
    if (object.type == pbs_protocol::ObjectType::kServer) continue;
    std::optional<job_manager::ReportedAttempt> held = ReadHeldJob(context, object);
    if (held) reconciled.held.push_back(std::move(*held));
  }
  return reconciled;
}

struct ReplyMapper {
  const SessionContext& context;
  NodeId node;
  Micros elapsed;
  const pbs_protocol::Reply& reply;

  std::optional<NodeMessage> operator()(const job_manager::StopAttempt& stop) const {
    if (!SaysWhetherKnown(reply)) return job_manager::StopFailed{stop.attempt};
    return job_manager::StopAnswered{stop.attempt, IsSuccess(reply), ReadProcessStart(reply)};
  }
  std::optional<NodeMessage> operator()(const job_manager::SignalAttempt& /*signal*/) const {
    return std::nullopt;
  }
  std::optional<NodeMessage> operator()(const job_manager::QueryAttempt& query) const {
    if (!SaysWhetherKnown(reply)) return job_manager::QueryFailed{query.attempt};
    return job_manager::QueryAnswered{query.attempt, IsSuccess(reply), ReadProcessStart(reply)};
  }
  std::optional<NodeMessage> operator()(const job_manager::ReconcileNode& /*reconcile*/) const {
    if (!IsSuccess(reply)) return job_manager::ReconcileFailed{node};
    return ReadReconciliation(context, node, reply);
  }
  std::optional<NodeMessage> operator()(const job_manager::FindKey& find) const {
    job_manager::FindKeyAnswered found;
    found.node = node;
    found.job = find.job;
    found.key = find.key;
    found.reached = IsSuccess(reply);
    if (found.reached && !reply.ids.empty()) {
      found.found = context.job_manager->ParseAttemptName(reply.ids[0], &found.attempt, &found.server);
    }
    return found;
  }
  std::optional<NodeMessage> operator()(const job_manager::CheckNodeHealth& /*check*/) const {
    job_manager::NodeHealthChecked checked{node, IsSuccess(reply), elapsed, {}};
    if (!reply.objects.empty()) {
      checked.report = pbs_server::ParseLoad(pbs_protocol::ValueOf(reply.objects[0].attributes, "load"));
    }
    return checked;
  }
};

struct FailureMapper {
  NodeId node;

  std::optional<NodeMessage> operator()(const job_manager::StopAttempt& stop) const {
    return job_manager::StopFailed{stop.attempt};
  }
  std::optional<NodeMessage> operator()(const job_manager::SignalAttempt& /*signal*/) const {
    return std::nullopt;
  }
  std::optional<NodeMessage> operator()(const job_manager::QueryAttempt& query) const {
    return job_manager::QueryFailed{query.attempt};
  }
  std::optional<NodeMessage> operator()(const job_manager::ReconcileNode& /*reconcile*/) const {
    return job_manager::ReconcileFailed{node};
  }
  std::optional<NodeMessage> operator()(const job_manager::FindKey& find) const {
    job_manager::FindKeyAnswered not_reached;
    not_reached.node = node;
    not_reached.job = find.job;
    not_reached.key = find.key;
    return not_reached;
  }
  std::optional<NodeMessage> operator()(const job_manager::CheckNodeHealth& /*check*/) const {
    return job_manager::NodeHealthChecked{node, false, 0, {}};
  }
};

}  // namespace

std::string EncodeControl(const SessionContext& context, const ControlRequest& control) {
  pbs_protocol::Request request;
  request.user = context.options.user;
  std::visit(RequestFiller{context, request}, control);
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return bytes;
}

std::optional<NodeMessage> ReadControlReply(const SessionContext& context, Micros now, NodeId node,
                                            const PendingControl& pending, const pbs_protocol::Reply& reply) {
  return std::visit(ReplyMapper{context, node, now - pending.sent, reply}, pending.request);
}

std::optional<NodeMessage> ControlFailure(NodeId node, const ControlRequest& request) {
  return std::visit(FailureMapper{node}, request);
}

}  // namespace mountflow::node_sessions
