// Results of the HTTP front's handlers: JSON, or a problem (RFC 9457).
#ifndef MOUNTFLOW_DAEMON_HTTP_PROBLEM_HPP_
#define MOUNTFLOW_DAEMON_HTTP_PROBLEM_HPP_

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

#include "http/message.hpp"
#include "job_manager/job_manager.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::daemon {

enum class HttpStatus {
  kOk = 200,
  kCreated = 201,
  kBadRequest = 400,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kContentTooLarge = 413,
  kInternalError = 500,
  kServiceUnavailable = 503,
};

struct HttpProblem {
  HttpStatus status = HttpStatus::kInternalError;
  std::string detail;      // what was expected, and where
  Micros retry_after = 0;  // sent in whole seconds, rounded up; 0: not sent
  // The problem says nothing of what the daemon stores (a submission was turned away), so its reply need not
  // wait for storage.
  bool stored_nothing = false;
};

struct JsonReply {
  HttpStatus status = HttpStatus::kOk;
  nlohmann::json body;
};

using JsonResult = tl::expected<JsonReply, HttpProblem>;

// The status that reports why a command failed; kOk for a command that succeeded.
[[nodiscard]] HttpStatus HttpStatusOf(job_manager::CommandResult command_result);

// Whole replies as bytes. `request`: whether its connection is kept.
[[nodiscard]] std::string WriteJson(const http::Message& request, const JsonReply& reply);
[[nodiscard]] std::string WriteProblem(const http::Message& request, const HttpProblem& problem);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HTTP_PROBLEM_HPP_
