// The client's side of the batch protocol for commands and tools: one blocking
// connection with time-outs, and a submission that may be repeated.
#ifndef MOUNTFLOW_PBS_CLIENT_PBS_CLIENT_HPP_
#define MOUNTFLOW_PBS_CLIENT_PBS_CLIENT_HPP_

#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_client {

class Client {
 public:
  ~Client();
  Client() = default;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // False with the reason.
  bool Connect(const std::string& address, Micros timeout, std::string* error);
  // Sends a request and waits for its reply. False with the reason when the connection failed or the time was
  // over; it is closed then.
  bool Call(const pbs_protocol::Request& request, pbs_protocol::Reply* reply, Micros timeout,
            std::string* error);
  bool connected() const { return fd_ >= 0; }
  void Close();

 private:
  bool Write(const std::string& bytes, Micros until, std::string* error);
  bool Read(pbs_protocol::Reply* reply, Micros until, std::string* error);
  int fd_ = -1;
  std::string input_;
};

struct Submission {
  std::string user;
  std::string destination;
  pbs_protocol::Attributes attributes;
  std::string script;
  std::string key;                    // repeats over daemons need one
  Micros answer_within = 10'000'000;  // of one try at one daemon
  Micros owner_time = 0;              // sets the owner's deadline; 0: none is stated
  // Over the daemons, in their order. A daemon that refuses at its door and tells a wait is obeyed before the
  // next.
  unsigned tries = 1;
};

struct SubmitResult {
  bool ok = false;
  bool repeated = false;  // it was there already, from an earlier try
  std::string id;
  std::string server;  // address of the daemon that has it
  std::string error;
  pbs_protocol::Code code = pbs_protocol::Code::kNone;
};

// QueueJob, JobScript, RdytoCommit, Commit. When the reply to a commit is lost the job may be there: the same
// daemon is asked again with the same key and says so; another daemon is told that it is a repeat and until
// when the first ask may still be started, and waits accordingly.
SubmitResult Submit(const std::vector<std::string>& daemons, const Submission& submission);

Micros WallTime();
std::string UserName();  // of the invoking user
std::string HostName();

}  // namespace mountflow::pbs_client

#endif  // MOUNTFLOW_PBS_CLIENT_PBS_CLIENT_HPP_
