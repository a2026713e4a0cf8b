#include "pbs_client/submission.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "pbs_client/connection.hpp"
#include "pbs_client/host.hpp"

namespace mountflow::pbs_client {
namespace {

using pbs_protocol::Reply;
using pbs_protocol::Request;
using Result = tl::expected<SubmittedJob, SubmitError>;

constexpr std::size_t kScriptChunkBytes = 64 << 10;
constexpr Micros kMaxRetryAfterMs = 60'000;         // longest delay that a server may demand
constexpr Micros kDefaultClientTime = 600'000'000;  // time in which a job without a deadline may still start

// Waits before the next attempt for as long as the server demanded. A random extra delay of up to a quarter
// keeps clients that were rejected together from retrying together.
void SleepForRetryAfter(Micros retry_after_ms) {
  const Micros wait = std::min(retry_after_ms, kMaxRetryAfterMs) * 1000;
  std::random_device random;
  std::this_thread::sleep_for(std::chrono::microseconds(wait + random() % (wait / 4 + 1)));
}

void AddAttribute(Request* request, const char* name, std::string value) {
  request->attributes.push_back({name, "", std::move(value), pbs_protocol::Op::kSet});
}

// Runs the attempts of one submission, which must outlive it.
class Submitter {
 public:
  explicit Submitter(const Submission& submission) : submission_(submission) {}

  Result Run(const std::vector<std::string>& servers) {
    const unsigned max_attempts = std::max(1u, submission_.max_attempts);
    for (unsigned attempt = 0; attempt < max_attempts; ++attempt) {
      const std::string& server = servers[attempt % servers.size()];
      if (std::optional<Result> result = Attempt(server, attempt + 1 == max_attempts)) return *result;
    }
    return tl::make_unexpected(error_);
  }

 private:
  // Makes one attempt at one server. Returns nothing if the submission should be retried.
  std::optional<Result> Attempt(const std::string& server, bool is_last) {
    attempt_ends_at_ = MonotonicTime() + submission_.answer_timeout;
    BatchConnection connection;
    if (const auto connected = connection.Connect(server, TimeLeft()); !connected) {
      error_.reason = Describe(connected.error());
      return std::nullopt;
    }
    job_deadline_ = submission_.client_time != 0 ? WallTime() + submission_.client_time : 0;
    const std::optional<Reply> queued = Call(&connection, QueueRequest());
    if (!queued) return std::nullopt;
    if (queued->code == pbs_protocol::Code::kExists && queued->choice == pbs_protocol::Choice::kText) {
      return SubmittedJob{queued->text, server, true};
    }
    if (queued->code != pbs_protocol::Code::kNone) return HandleRejection(*queued, is_last);

    Request request;
    request.user = submission_.user;
    request.id = queued->text;
    std::optional<Reply> reply = SendScript(&connection, &request);
    if (reply && reply->code == pbs_protocol::Code::kNone) {
      request.type = pbs_protocol::RequestType::kReadyToCommit;
      reply = Call(&connection, request);
    }
    if (!reply) return std::nullopt;  // no job exists, because no commit was sent
    if (reply->code != pbs_protocol::Code::kNone) return Fail(*reply);
    return Commit(&connection, &request, server);
  }

  Request QueueRequest() const {
    Request request;
    request.type = pbs_protocol::RequestType::kQueueJob;
    request.user = submission_.user;
    request.destination = submission_.destination;
    request.attributes = submission_.attributes;
    if (!submission_.key.empty()) AddAttribute(&request, "key", submission_.key);
    if (job_deadline_ != 0) AddAttribute(&request, "owner_deadline", std::to_string(job_deadline_));
    // Also sent to the same server again: it may have restarted and lost all record of the earlier attempt.
    if (earlier_attempt_until_ != 0) {
      AddAttribute(&request, "repeat", "true");
      AddAttribute(&request, "earlier_until", std::to_string(earlier_attempt_until_));
    }
    return request;
  }

  // Sends the script in chunks, and an empty script as one empty chunk. Returns the last reply.
  std::optional<Reply> SendScript(BatchConnection* connection, Request* request) {
    request->type = pbs_protocol::RequestType::kJobScript;
    std::optional<Reply> reply;
    std::size_t sent = 0;
    do {
      request->script = submission_.script.substr(sent, kScriptChunkBytes);
      sent += request->script.size();
      reply = Call(connection, *request);
      ++request->sequence;
    } while (reply && reply->code == pbs_protocol::Code::kNone && sent < submission_.script.size());
    request->script.clear();
    return reply;
  }

  std::optional<Result> Commit(BatchConnection* connection, Request* request, const std::string& server) {
    request->type = pbs_protocol::RequestType::kCommit;
    const std::optional<Reply> reply = Call(connection, *request);
    if (!reply) {
      // The job may exist. Without a key, a server could not distinguish a retry from a second job, so the
      // submission is not retried.
      if (submission_.key.empty()) {
        error_.reason += "; the job may have been taken as " + request->id;
        return tl::make_unexpected(error_);
      }
      const Micros until = job_deadline_ != 0 ? job_deadline_ : WallTime() + kDefaultClientTime;
      earlier_attempt_until_ = std::max(earlier_attempt_until_, until);
      return std::nullopt;
    }
    if (reply->code == pbs_protocol::Code::kExists && !reply->text.empty()) {
      return SubmittedJob{reply->text, server, true};
    }
    if (reply->code != pbs_protocol::Code::kNone) return Fail(*reply);
    return SubmittedJob{request->id, server, false};
  }

  // Handles a reply that rejects the submission. If it states a time to retry and attempts are left, waits
  // for that time and returns nothing.
  std::optional<Result> HandleRejection(const Reply& reply, bool is_last) {
    Result failure = Fail(reply);
    if (reply.auxiliary <= 0 || is_last) return failure;
    SleepForRetryAfter(static_cast<Micros>(reply.auxiliary));
    return std::nullopt;
  }

  Result Fail(const Reply& reply) {
    error_.reply_code = reply.code;
    const bool has_text = reply.choice == pbs_protocol::Choice::kText && !reply.text.empty();
    error_.reason = has_text ? reply.text : pbs_protocol::Describe(reply.code);
    return tl::make_unexpected(error_);
  }

  std::optional<Reply> Call(BatchConnection* connection, const Request& request) {
    auto reply = connection->Call(request, TimeLeft());
    if (reply) return std::move(*reply);
    error_.reason = Describe(reply.error());
    return std::nullopt;
  }

  Micros TimeLeft() const {
    const Micros now = MonotonicTime();
    return attempt_ends_at_ > now ? attempt_ends_at_ - now : Micros{1};
  }

  const Submission& submission_;
  SubmitError error_;           // describes the most recent failure
  Micros attempt_ends_at_ = 0;  // monotonic time
  Micros job_deadline_ = 0;     // wall time; 0 for no deadline
  // Wall time until which a job of an earlier attempt may start; 0 if no earlier attempt can have created a
  // job.
  Micros earlier_attempt_until_ = 0;
};

}  // namespace

std::string Describe(const SubmitError& error) {
  const std::string meaning = pbs_protocol::Describe(error.reply_code);
  if (error.reply_code == pbs_protocol::Code::kNone || error.reason == meaning) return error.reason;
  return meaning + ": " + error.reason;
}

Result Submit(const std::vector<std::string>& servers, const Submission& submission) {
  if (servers.empty()) {
    return tl::make_unexpected(SubmitError{pbs_protocol::Code::kNone, "no daemon is named"});
  }
  return Submitter(submission).Run(servers);
}

}  // namespace mountflow::pbs_client
