#include "pbs_server/job_command_handlers.hpp"

#include <functional>

#include "pbs_server/attribute_mapping.hpp"

namespace mountflow::pbs_server {
namespace {

using job_manager::CommandResult;
using pbs_protocol::Code;

OutgoingReply ReplyOf(CommandResult result) { return {MakeReply(ReplyCodeOf(result))}; }

OutgoingReply RunCommand(const RequestContext& context, const pbs_protocol::Request& request,
                         const std::function<CommandResult(std::uint64_t job)>& command) {
  const std::uint64_t number = context.job_manager.ParseJobId(request.id);
  if (number == 0) return {MakeReply(Code::kUnknownJob)};
  return ReplyOf(command(number));
}

// Returns the hold types that a request states, or "u" if it states none, without the type "n". The error is
// the reply if a type is unknown or if the user may not set or release it.
tl::expected<std::string, pbs_protocol::Reply> ReadHoldTypes(const RequestContext& context,
                                                             const pbs_protocol::Request& request) {
  std::string types(pbs_protocol::ValueOf(request.attributes, "Hold_Types"));
  if (types.empty()) types = "u";
  if (types.find_first_not_of("uosn") != std::string::npos) {
    return tl::unexpected(MakeReply(Code::kBadValue, "Hold_Types: expected letters of u, o, s or n"));
  }
  std::erase(types, 'n');
  if (!context.ActingUser().empty() && types.find_first_of("os") != std::string::npos) {
    return tl::unexpected(MakeReply(Code::kPermission, "operator and system holds are for managers"));
  }
  return types;
}

OutgoingReply Alter(const RequestContext& context, std::uint64_t number,
                    const std::function<AttributeResult(job_manager::JobSpec*)>& change) {
  AttributeResult changed;
  const CommandResult result = context.job_manager.Alter(context.now, number, context.ActingUser(),
                                                         [&changed, &change](job_manager::JobSpec* spec) {
                                                           changed = change(spec);
                                                           return changed.has_value();
                                                         });
  if (!changed) return {MakeReply(ReplyCodeOf(changed.error().code), Describe(changed.error()))};
  return ReplyOf(result);
}

}  // namespace

OutgoingReply DeleteJob(const RequestContext& context, const pbs_protocol::Request& request) {
  return RunCommand(context, request, [&context](std::uint64_t job) {
    return context.job_manager.Delete(context.now, job, context.ActingUser());
  });
}

OutgoingReply HoldJob(const RequestContext& context, const pbs_protocol::Request& request) {
  const auto types = ReadHoldTypes(context, request);
  if (!types) return {types.error()};
  return RunCommand(context, request, [&context, &types](std::uint64_t job) {
    return context.job_manager.Hold(context.now, job, context.ActingUser(), *types);
  });
}

OutgoingReply ReleaseJob(const RequestContext& context, const pbs_protocol::Request& request) {
  const auto types = ReadHoldTypes(context, request);
  if (!types) return {types.error()};
  return RunCommand(context, request, [&context, &types](std::uint64_t job) {
    return context.job_manager.Release(context.now, job, context.ActingUser(), *types);
  });
}

OutgoingReply ModifyJob(const RequestContext& context, const pbs_protocol::Request& request) {
  const std::uint64_t number = context.job_manager.ParseJobId(request.id);
  if (number == 0) return {MakeReply(Code::kUnknownJob)};
  return Alter(context, number, [&context, &request](job_manager::JobSpec* spec) {
    return DecodeAlteration(request.attributes, context.options.vocabulary, spec);
  });
}

OutgoingReply MoveJob(const RequestContext& context, const pbs_protocol::Request& request) {
  const std::uint64_t number = context.job_manager.ParseJobId(request.id);
  return Alter(context, number, [&context, &request](job_manager::JobSpec* spec) {
    return DecodeSubmission({}, request.destination, context.options.vocabulary, spec);
  });
}

OutgoingReply RerunJob(const RequestContext& context, const pbs_protocol::Request& request) {
  return RunCommand(context, request, [&context](std::uint64_t job) {
    return context.job_manager.Rerun(context.now, job, context.ActingUser());
  });
}

OutgoingReply SignalJob(const RequestContext& context, const pbs_protocol::Request& request) {
  return RunCommand(context, request, [&context, &request](std::uint64_t job) {
    return context.job_manager.Signal(context.now, job, context.ActingUser(), request.signal);
  });
}

}  // namespace mountflow::pbs_server
