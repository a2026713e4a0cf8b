// The HTTP front over the core: the same jobs, decisions and rules as the batch
// front, as JSON. Sans-I/O: one parsed request in, one reply out.
//
//   GET    /v1/status            counts and names
//   GET    /v1/nodes             nodes as this daemon knows them
//   GET    /v1/jobs              ?state=QR&queue=..&from=ID&limit=100&history=true, in the order of ids
//   GET    /v1/jobs/ID
//   POST   /v1/jobs              {"script": "...", "queue": "...", "name": "...", "ncpus": 1, "mem": "1gb",
//   ...} DELETE /v1/jobs/ID POST   /v1/jobs/ID/hold | release | rerun
#ifndef MOUNTFLOW_DAEMON_HTTP_FRONT_HPP_
#define MOUNTFLOW_DAEMON_HTTP_FRONT_HPP_

#include <string>

#include "discovery/client.hpp"
#include "http/message.hpp"
#include "job_manager/job_manager.hpp"
#include "ledger/book.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

class HttpFront {
 public:
  HttpFront(job_manager::JobManager* core, const pbs_server::FrontOptions* options,
            const discovery::RegistryClient* list)
      : core_(core), options_(options), list_(list) {}
  // The last reply refused a submission at the door: it tells of nothing that the core keeps.
  bool said_nothing_kept() const { return said_nothing_kept_; }
  void SetDoor(admission::AdmissionController* door) { door_ = door; }
  void SetBook(const ledger::Book* book) { book_ = book; }
  // The whole reply as bytes.
  // `arrived`: when its bytes did, at the earliest.
  std::string Handle(Micros now, const http::Message& request, const pbs_server::Peer& peer, Micros arrived);

 private:
  std::string Submit(Micros now, const http::Message& request, const std::string& user, Micros arrived);
  std::string Manage(Micros now, const http::Message& request, const std::string& user);
  std::string ListJobs(const http::Message& request);

  job_manager::JobManager* core_;
  const pbs_server::FrontOptions* options_;
  const discovery::RegistryClient* list_;
  const ledger::Book* book_ = nullptr;
  admission::AdmissionController* door_ = nullptr;
  bool said_nothing_kept_ = false;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HTTP_FRONT_HPP_
