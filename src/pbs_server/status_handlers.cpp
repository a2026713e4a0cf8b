#include "pbs_server/status_handlers.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

#include "pbs_server/attribute_comparison.hpp"
#include "pbs_server/attribute_mapping.hpp"
#include "pbs_server/attribute_values.hpp"

namespace mountflow::pbs_server {
namespace {

using job_manager::Job;
using job_manager::JobManager;
using job_manager::JobState;
using pbs_protocol::Choice;
using pbs_protocol::Code;
using pbs_protocol::Request;
using pbs_protocol::StatusObject;

constexpr std::string_view kWaitExtension = "wait=";
constexpr std::string_view kWaitForEndExtension = "wait=end";
constexpr std::string_view kSecondsExtension = ",seconds=";

using JobCounts = std::map<JobState, std::size_t>;

constexpr std::array kCountedStates = {JobState::kQueued, JobState::kHeld, JobState::kWaiting,
                                       JobState::kRunning, JobState::kExiting};

bool IsQueue(const Vocabulary& vocabulary, const std::string& name) {
  return std::find(vocabulary.queues.begin(), vocabulary.queues.end(), name) != vocabulary.queues.end();
}

pbs_protocol::Reply StatusReply() {
  pbs_protocol::Reply reply;
  reply.choice = Choice::kStatus;
  return reply;
}

void AddAttribute(StatusObject* object, const char* name, std::string value) {
  object->attributes.push_back({name, "", std::move(value), pbs_protocol::Op::kSet});
}

// Returns the status of a job with the attributes named in `wanted`, or with all attributes if `wanted` is
// empty.
StatusObject MakeJobObject(const JobManager& job_manager, const Job& job, const Vocabulary& vocabulary,
                           const pbs_protocol::Attributes& wanted) {
  StatusObject object;
  object.name = job_manager.JobId(job.number);
  object.attributes = EncodeForStatus(job_manager, job, vocabulary);
  if (wanted.empty()) return object;
  std::erase_if(object.attributes, [&wanted](const pbs_protocol::Attribute& shown) {
    return std::none_of(wanted.begin(), wanted.end(), [&shown](const pbs_protocol::Attribute& attribute) {
      return attribute.name == shown.name;
    });
  });
  return object;
}

// Formats counts as in "Q:1 H:0 W:0 R:2 E:0".
std::string FormatCounts(JobCounts* counts) {
  std::string shown;
  for (const JobState state : kCountedStates) {
    if (!shown.empty()) shown += ' ';
    shown += static_cast<char>(state);
    shown += ':' + std::to_string((*counts)[state]);
  }
  return shown;
}

const char* NameOf(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::kIdempotent:
      return "safe";
    case Idempotency::kWithKey:
      return "keyed";
    default:
      return "unsafe";
  }
}

StatusObject MakeQueueObject(const JobManager& job_manager, const std::string& name, std::size_t task_class,
                             JobCounts* counts) {
  const job_manager::JobManagerOptions& options = job_manager.options();
  const TaskClass& settings = options.settings.classes[task_class];
  std::size_t total = 0;
  for (const auto& [state, count] : *counts) total += count;
  StatusObject object;
  object.type = pbs_protocol::ObjectType::kQueue;
  object.name = name;
  AddAttribute(&object, "queue_type", "Execution");
  AddAttribute(&object, "Priority", std::to_string(settings.priority));
  AddAttribute(&object, "total_jobs", std::to_string(total));
  AddAttribute(&object, "state_count", FormatCounts(counts));
  AddAttribute(&object, "enabled", "True");
  AddAttribute(&object, "started", "True");
  AddAttribute(&object, "effect", NameOf(settings.idempotency));
  AddAttribute(&object, "owner_time", FormatDuration(options.hard_limits[task_class]));
  return object;
}

}  // namespace

OutgoingReply StatusOfJob(const JobManager& job_manager, std::uint64_t number, const Vocabulary& vocabulary) {
  const Job* job = job_manager.Find(number);
  if (job == nullptr) return {MakeReply(Code::kUnknownJob)};
  pbs_protocol::Reply reply = StatusReply();
  reply.objects.push_back(MakeJobObject(job_manager, *job, vocabulary, {}));
  return {std::move(reply)};
}

OutgoingReply StatusJobs(const RequestContext& context, const Request& request) {
  const JobManager& job_manager = context.job_manager;
  const Vocabulary& vocabulary = context.options.vocabulary;
  pbs_protocol::Reply reply = StatusReply();
  if (!request.id.empty() && !IsQueue(vocabulary, request.id)) {
    const std::uint64_t number = job_manager.ParseJobId(request.id);
    const Job* job = number != 0 ? job_manager.Find(number) : nullptr;
    if (job == nullptr) return {MakeReply(Code::kUnknownJob)};
    // A request with a wait gets all attributes, also if the event has happened already.
    if (request.extension.starts_with(kWaitExtension)) return StatusOfJob(job_manager, number, vocabulary);
    reply.objects.push_back(MakeJobObject(job_manager, *job, vocabulary, request.attributes));
    return {std::move(reply)};
  }
  const bool with_complete = request.extension.find('x') != std::string::npos;
  job_manager.ForEach(0, [&](const Job& job) {
    if (!request.id.empty() && job.spec->queue != request.id) return true;
    if (!with_complete && job.state == JobState::kComplete) return true;
    reply.objects.push_back(MakeJobObject(job_manager, job, vocabulary, request.attributes));
    return reply.objects.size() < pbs_protocol::kMaxObjects;
  });
  return {std::move(reply)};
}

std::optional<FinalAnswerWaits::Wait> RequestedWait(const RequestContext& context, const Request& request) {
  if (request.type != pbs_protocol::RequestType::kStatusJob) return std::nullopt;
  if (!request.extension.starts_with(kWaitExtension)) return std::nullopt;
  if (request.id.empty() || IsQueue(context.options.vocabulary, request.id)) return std::nullopt;
  const std::uint64_t number = context.job_manager.ParseJobId(request.id);
  const Job* job = number != 0 ? context.job_manager.Find(number) : nullptr;
  if (job == nullptr) return std::nullopt;
  FinalAnswerWaits::Wait wait;
  wait.job = number;
  wait.for_end = request.extension.starts_with(kWaitForEndExtension);
  const bool is_over =
      wait.for_end ? job->state == JobState::kComplete : job->answer != job_manager::FinalAnswer::kNone;
  if (is_over) return std::nullopt;
  Micros duration = context.options.max_wait;
  std::string_view seconds = request.extension;
  const std::size_t at = seconds.find(kSecondsExtension);
  if (at != std::string_view::npos) {
    seconds.remove_prefix(at + kSecondsExtension.size());
    duration = std::min(duration, ParseDuration(seconds).value_or(duration));
  }
  wait.deadline = context.now + duration;
  return wait;
}

OutgoingReply StatusQueues(const RequestContext& context, const Request& request) {
  const JobManager& job_manager = context.job_manager;
  const std::vector<std::string>& queues = context.options.vocabulary.queues;
  if (!request.id.empty() && !IsQueue(context.options.vocabulary, request.id)) {
    return {MakeReply(Code::kUnknownQueue)};
  }
  std::map<std::string, JobCounts> counts;
  job_manager.ForEach(0, [&counts](const Job& job) {
    if (job.state != JobState::kComplete) ++counts[job.spec->queue][job.state];
    return true;
  });
  pbs_protocol::Reply reply = StatusReply();
  for (std::size_t i = 0; i < queues.size(); ++i) {
    if (!request.id.empty() && queues[i] != request.id) continue;
    reply.objects.push_back(MakeQueueObject(job_manager, queues[i], i, &counts[queues[i]]));
  }
  return {std::move(reply)};
}

OutgoingReply StatusServer(const RequestContext& context, const Request&) {
  const JobManager& job_manager = context.job_manager;
  const job_manager::Counts counts = job_manager.Count();
  JobCounts by_state = {{JobState::kQueued, counts.queued},
                        {JobState::kHeld, counts.held},
                        {JobState::kWaiting, counts.waiting},
                        {JobState::kRunning, counts.running},
                        {JobState::kExiting, counts.exiting}};
  std::size_t total = 0;
  for (const auto& [state, count] : by_state) total += count;
  std::size_t nodes = 0;
  job_manager.ForEachNode([&nodes](NodeId, const job_manager::ListedNode&) { ++nodes; });
  StatusObject object;
  object.type = pbs_protocol::ObjectType::kServer;
  object.name = job_manager.options().server;
  AddAttribute(&object, "server_state", "Active");
  AddAttribute(&object, "total_jobs", std::to_string(total));
  AddAttribute(&object, "state_count", FormatCounts(&by_state));
  AddAttribute(&object, "complete_jobs", std::to_string(counts.complete));
  AddAttribute(&object, "nodes", std::to_string(nodes));
  AddAttribute(&object, "unsettled_attempts", std::to_string(job_manager.stopping_attempts()));
  const std::string& default_queue = context.options.vocabulary.default_queue;
  if (!default_queue.empty()) AddAttribute(&object, "default_queue", default_queue);
  pbs_protocol::Reply reply = StatusReply();
  reply.objects.push_back(std::move(object));
  return {std::move(reply)};
}

OutgoingReply SelectJobs(const RequestContext& context, const Request& request) {
  const JobManager& job_manager = context.job_manager;
  const pbs_protocol::Attribute* state = pbs_protocol::Find(request.attributes, "job_state");
  const bool with_complete = state != nullptr && state->value.find('C') != std::string::npos;
  pbs_protocol::Reply reply;
  reply.choice = Choice::kSelected;
  job_manager.ForEach(0, [&](const Job& job) {
    if (job.state == JobState::kComplete && !with_complete) return true;
    const pbs_protocol::Attributes shown = EncodeForStatus(job_manager, job, context.options.vocabulary);
    const bool matches =
        std::all_of(request.attributes.begin(), request.attributes.end(),
                    [&shown](const pbs_protocol::Attribute& wanted) { return Matches(shown, wanted); });
    if (matches) reply.ids.push_back(job_manager.JobId(job.number));
    return reply.ids.size() < pbs_protocol::kMaxObjects;
  });
  return {std::move(reply)};
}

}  // namespace mountflow::pbs_server
