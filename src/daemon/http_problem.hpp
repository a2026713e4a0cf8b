// Results of the HTTP API's handlers: JSON, or problem details (RFC 9457).
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

// An error reply (RFC 9457).
struct HttpProblem {
  HttpStatus status = HttpStatus::kInternalError;
  std::string detail;      // the expected value and its location
  Micros retry_after = 0;  // microseconds, sent in whole seconds, rounded up; 0: not sent
  // True if the request stored nothing because a submission was rejected; its reply then need not wait for
  // storage.
  bool stored_nothing = false;
};

// A successful reply with a JSON body.
struct JsonReply {
  HttpStatus status = HttpStatus::kOk;
  nlohmann::json body;
};

using JsonResult = tl::expected<JsonReply, HttpProblem>;

// Returns the HTTP status for the result of a command.
[[nodiscard]] HttpStatus HttpStatusOf(job_manager::CommandResult command_result);

// Returns a complete reply as bytes. `request` determines whether its connection stays open.
[[nodiscard]] std::string WriteJson(const http::Message& request, const JsonReply& reply);
[[nodiscard]] std::string WriteProblem(const http::Message& request, const HttpProblem& problem);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HTTP_PROBLEM_HPP_
