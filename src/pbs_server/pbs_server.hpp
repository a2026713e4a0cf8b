// The batch front: the server's side of the PBS batch protocol over the core,
// sans-I/O. One Front a daemon, one Session a connection: bytes go in, bytes
// and a wish to close come out.
//
// Besides the published requests a StatusJob may carry the extension
// "wait=answer" or "wait=end" (and ",seconds=N"): its reply comes when the
// job's one answer, or its end, is there, or when the time is over. Meanwhile
// nothing else is read from that connection.
//
// With a door (door/door.hpp) a new submission is not begun when it is read: it stands in
// line, one a connection, until Admit lets it in, after all that came in the same turn for
// jobs that are in already. One that is refused there is told when to ask again, in the
// text and, in milliseconds, in the reply's auxiliary field.
//
// Bounds: one submission in progress a connection (a second is kTooMany), its
// script at most `most_script` bytes (beyond: kBadValue and the submission is
// dropped), one request in the buffer at its stated size, replies not read by
// the peer at most `most_reply_bytes` (beyond: nothing more is read from it).
#ifndef MOUNTFLOW_PBS_SERVER_PBS_SERVER_HPP_
#define MOUNTFLOW_PBS_SERVER_PBS_SERVER_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission.hpp"
#include "job_manager/job_manager.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/attribute_mapping.hpp"
#include "pbs_server/complaints.hpp"

namespace mountflow::pbs_server {

struct FrontOptions {
  Vocabulary words;
  std::size_t most_script = 1 << 20;          // bytes
  std::size_t most_reply_bytes = 64 << 20;    // unread, one connection
  std::set<std::string> managers = {"root"};  // may act on anybody's jobs
  Micros longest_wait = 600'000'000;          // of a status with "wait="
};

// Who is at the other end, as far as the system tells.
struct Peer {
  std::string address;
  std::string user;    // name of the user that owns the connection; empty: not told
  bool local = false;  // owned by the same user as this daemon, or by root
};

class Session;

class Front {
 public:
  Front(job_manager::JobManager* core, FrontOptions options);
  ~Front();

  using Id = std::uint64_t;
  void Open(Id session, Peer peer);
  // Takes bytes; whatever is to be sent back is appended to the session's output.
  // `arrived`: when the bytes did, at the earliest.
  void Receive(Micros now, Id session, std::string_view bytes, Micros arrived);
  void Receive(Micros now, Id session, std::string_view bytes) { Receive(now, session, bytes, now); }
  void Close(Micros now, Id session);  // the connection is gone; an uncommitted submission leaves no job

  // Call with each of the core's outputs that concerns fronts.
  void On(Micros now, const job_manager::JobAnswered& answered);
  void On(Micros now, const job_manager::JobCompleted& ended);
  void Tick(Micros now);  // ends waits whose time is over
  Micros NextTimer() const;

  // Bytes to be sent to the peer; take some off the front as they are written.
  std::string* OutputOf(Id session);
  bool WantsClose(Id session) const;  // after the output is written
  bool WantsRead(Id session) const;   // false: too much unread, or a wait goes on
  // Its output tells of nothing that the core keeps (connects, steps of a submission before its commit,
  // refusals at the door): it need not wait until anything is durable.
  bool SaysNothingKept(Id session) const;
  // Goes on with input that was kept back, once output was written. True when something was done.
  bool Resume(Micros now, Id session);
  void SetDoor(admission::AdmissionController* door) { door_ = door; }
  // Lets in, or refuses, those at the door that may be dealt with in this turn. True when there were any.
  bool Admit(Micros now);
  std::size_t at_door() const { return line_.size(); }
  std::size_t sessions() const { return sessions_.size(); }
  // Sessions that have new output since the last call.
  std::vector<Id> TakeTouched();
  // Log lines on bad input, folded by kind and second.
  std::vector<std::string> TakeComplaints(Micros now);

 private:
  friend class Session;
  void Wake(Micros now, std::uint64_t job, bool ended);
  void Finish(Micros now, Id id, Session& session, std::uint64_t job);
  void ForgetWait(Id id, Session& session);
  struct AtDoor {
    Id session = 0;
    std::uint64_t number = 0;  // of the session's visits
    Micros arrived = 0, give_up = 0;
  };

  job_manager::JobManager* core_;
  FrontOptions options_;
  std::unordered_map<Id, std::unique_ptr<Session>> sessions_;
  std::multimap<std::uint64_t, Id> waiting_;   // job -> session
  std::set<std::pair<Micros, Id>> deadlines_;  // of waits
  std::vector<Id> touched_;                    // some more than once, some closed since
  admission::AdmissionController* door_ = nullptr;
  std::deque<AtDoor> line_;  // bounded by the door; entries of closed sessions are passed over
  Complaints complaints_;
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_PBS_SERVER_HPP_
