#include "daemon/http_problem.hpp"

#include <utility>
#include <vector>

namespace mountflow::daemon {
namespace {

constexpr Micros kMicrosPerSecond = 1'000'000;

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string WriteBody(const http::Message& request, HttpStatus status, const Headers& headers,
                      const nlohmann::json& body) {
  const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return http::WriteReply(static_cast<int>(status), headers, text, request.keep_alive);
}

}  // namespace

HttpStatus HttpStatusOf(job_manager::CommandResult command_result) {
  switch (command_result) {
    case job_manager::CommandResult::kOk:
      return HttpStatus::kOk;
    case job_manager::CommandResult::kUnknownJob:
      return HttpStatus::kNotFound;
    case job_manager::CommandResult::kPermission:
      return HttpStatus::kForbidden;
    case job_manager::CommandResult::kBadState:
    case job_manager::CommandResult::kNotRunning:
    case job_manager::CommandResult::kExists:
      return HttpStatus::kConflict;
    case job_manager::CommandResult::kBadValue:
      return HttpStatus::kBadRequest;
    case job_manager::CommandResult::kFull:
    case job_manager::CommandResult::kStopping:
      return HttpStatus::kServiceUnavailable;
  }
  return HttpStatus::kInternalError;
}

std::string WriteJson(const http::Message& request, const JsonReply& reply) {
  return WriteBody(request, reply.status, {{"Content-Type", "application/json"}}, reply.body);
}

std::string WriteProblem(const http::Message& request, const HttpProblem& problem) {
  const int status = static_cast<int>(problem.status);
  const nlohmann::json body = {
      {"title", http::Phrase(status)}, {"status", status}, {"detail", problem.detail}};
  Headers headers = {{"Content-Type", "application/problem+json"}};
  if (problem.retry_after != 0) {
    const Micros seconds = (problem.retry_after + kMicrosPerSecond - 1) / kMicrosPerSecond;
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return WriteBody(request, problem.status, headers, body);
}

}  // namespace mountflow::daemon
