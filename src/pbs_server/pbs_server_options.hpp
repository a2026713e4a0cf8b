// Options of the PBS server, and the identity of a connection's peer.
#ifndef MOUNTFLOW_PBS_SERVER_PBS_SERVER_OPTIONS_HPP_
#define MOUNTFLOW_PBS_SERVER_PBS_SERVER_OPTIONS_HPP_

#include <cstddef>
#include <set>
#include <string>

#include "mountflow/scheduler.hpp"
#include "pbs_server/vocabulary.hpp"

namespace mountflow::pbs_server {

struct PbsServerOptions {
  Vocabulary vocabulary;
  std::size_t max_script_bytes = 1 << 20;         // size of the script of one submission
  std::size_t max_unread_reply_bytes = 64 << 20;  // unsent output of one connection
  std::set<std::string> managers = {"root"};      // users that may act on all jobs
  Micros max_wait = 600'000'000;                  // longest wait of a status request with "wait="
};

// The peer of a connection, as identified by the operating system.
struct Peer {
  std::string address;
  std::string user;    // user of the process that opened the connection; empty if unknown
  bool local = false;  // whether that user is this daemon's user or root
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_PBS_SERVER_OPTIONS_HPP_
