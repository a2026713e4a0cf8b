#include "pbs_server/request_handler.hpp"

#include "pbs_server/job_command_handlers.hpp"
#include "pbs_server/obituary_handler.hpp"
#include "pbs_server/status_handlers.hpp"
#include "pbs_server/submission_handlers.hpp"

namespace mountflow::pbs_server {
namespace {

using pbs_protocol::RequestType;

OutgoingReply Connect(const RequestContext&, const pbs_protocol::Request&) {
  return {MakeReply(pbs_protocol::Code::kNone), true};
}

struct HandlerRow {
  RequestType type;
  OutgoingReply (*handle)(const RequestContext& context, const pbs_protocol::Request& request);
};

constexpr HandlerRow kHandlers[] = {
    {RequestType::kConnect, Connect},           {RequestType::kQueueJob, QueueJob},
    {RequestType::kJobScript, AddJobScript},    {RequestType::kReadyToCommit, PrepareCommit},
    {RequestType::kCommit, CommitJob},          {RequestType::kDeleteJob, DeleteJob},
    {RequestType::kHoldJob, HoldJob},           {RequestType::kReleaseJob, ReleaseJob},
    {RequestType::kModifyJob, ModifyJob},       {RequestType::kMoveJob, MoveJob},
    {RequestType::kRerunJob, RerunJob},         {RequestType::kSignalJob, SignalJob},
    {RequestType::kSelectJobs, SelectJobs},     {RequestType::kStatusJob, StatusJobs},
    {RequestType::kStatusQueue, StatusQueues},  {RequestType::kStatusServer, StatusServer},
    {RequestType::kJobObit, HandleJobObituary},
};

}  // namespace

pbs_protocol::Reply MakeReply(pbs_protocol::Code code) {
  pbs_protocol::Reply reply;
  reply.code = code;
  return reply;
}

pbs_protocol::Reply MakeReply(pbs_protocol::Code code, std::string text) {
  pbs_protocol::Reply reply;
  reply.code = code;
  reply.choice = pbs_protocol::Choice::kText;
  reply.text = std::move(text);
  return reply;
}

pbs_protocol::Reply MakeReply(pbs_protocol::Choice choice, std::string id) {
  pbs_protocol::Reply reply;
  reply.choice = choice;
  reply.text = std::move(id);
  return reply;
}

OutgoingReply HandleRequest(const RequestContext& context, const pbs_protocol::Request& request) {
  for (const HandlerRow& row : kHandlers) {
    if (row.type == request.type) return row.handle(context, request);
  }
  return {MakeReply(pbs_protocol::Code::kUnknownRequest)};
}

}  // namespace mountflow::pbs_server
