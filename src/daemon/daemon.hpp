// mountflowd: the thin shell around the core. It moves bytes between sockets and
// the sans-I/O parts and decides nothing.
#ifndef MOUNTFLOW_DAEMON_DAEMON_HPP_
#define MOUNTFLOW_DAEMON_DAEMON_HPP_

#include <map>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "daemon/http_front.hpp"
#include "discovery/client.hpp"
#include "discovery/registrar.hpp"
#include "discovery/registrar_link.hpp"
#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "job_manager/job_manager.hpp"
#include "ledger/book.hpp"
#include "ledger/outbox.hpp"
#include "membership/membership.hpp"
#include "node_sessions/node_sessions.hpp"
#include "pbs_server/pbs_server.hpp"
#include "storage/commit_gate.hpp"
#include "storage/committer.hpp"
#include "tls/keys.hpp"

namespace spdlog {
class logger;
}

namespace mountflow::daemon {

// Time spent in each part, nanoseconds of the process's CPU; for measurements.
struct Spent {
  std::uint64_t front = 0, links = 0, core = 0, module = 0, total = 0;
};

class Daemon {
 public:
  Daemon(event_loop::Loop* loop, config::DaemonConfig config, std::shared_ptr<spdlog::logger> log);
  ~Daemon();

  // Listens; false with the reason when an address cannot be had.
  bool Start(std::string* error);
  // Takes no further jobs, waits for the answers owed (config.stop_grace), then stops the loop.
  void Stop();
  int batch_port() const;
  int http_port() const;
  job_manager::JobManager& core() { return core_; }
  void Reload() { keys_.CheckNow(); }  // the key files
  void MeasureParts();
  Spent spent() const;

 private:
  class BatchSide;
  class HttpSide;
  class LinkSide;
  class ListSide;
  void Pump();
  // ---- Durable state: what a turn says goes out once its records are on disk ----
  struct HttpReply {
    event_loop::ConnId conn = 0;
    std::string bytes;
    bool close = false;
  };
  struct Held {
    std::vector<node_sessions::LinkAction> actions;
    std::vector<event_loop::ConnId> touched;
    std::vector<HttpReply> http;
    Micros since = 0;
  };
  bool OpenStorage(std::string* error);
  void Say(HttpReply reply, bool nothing_kept);
  void Send(const HttpReply& reply);
  bool Hold();     // true when something went out that may bring more to do
  bool Release();  // the same
  void CheckStorage();
  bool OpenLedger(std::string* error);
  void PostUse(const job_manager::Used& used);
  bool TakeLedgerRecord(std::string_view record, std::string* expected);
  void Carry(const job_manager::Output& output);
  void Log(const job_manager::LogEntry& entry);
  void Rearm();
  void PollGroup();
  void Remember();  // writes the last view to disk, now and then
  void Recall();    // and reads it at the start
  bool Owes() const;
  pbs_server::Peer PeerOf(const event_loop::PeerInfo& info) const;

  event_loop::Loop* loop_;
  config::DaemonConfig config_;
  std::shared_ptr<spdlog::logger> log_;
  job_manager::JobManager core_;
  admission::Door door_;
  pbs_server::Front front_;
  HttpFront http_;
  node_sessions::NodeLinks links_;
  discovery::RegistryClient list_;
  discovery::RegistryClient others_;  // the daemons' entries; used where the group comes from the registry
  discovery::Registrar own_entry_;
  membership::Group group_;
  std::unique_ptr<BatchSide> batch_side_;
  std::unique_ptr<HttpSide> http_side_;
  std::unique_ptr<LinkSide> link_side_;
  std::unique_ptr<ListSide> list_side_, others_side_;
  tls::Keys keys_;  // to the registry
  std::unique_ptr<discovery::RegistrarLink> own_entry_side_;
  event_loop::ListenerId batch_listener_ = 0, http_listener_ = 0;
  std::unique_ptr<storage::PosixFiles> files_;
  std::unique_ptr<storage::Committer> committer_;
  int durable_fd_ = -1;
  Held now_held_;  // of this turn
  storage::CommitGate gate_;
  std::map<std::uint64_t, Held> held_;                      // by the gate's number
  std::map<event_loop::ConnId, std::size_t> http_behind_;   // replies of HTTP connections that are held
  std::map<event_loop::ConnId, std::uint64_t> touched_in_;  // the newest of held_ that has it
  // The ledger has a log of its own. Its records go through the jobs' log first, in the commit that takes the
  // end of the attempt, and count at a start where the ledger's log lacks them: so neither can be lost alone.
  ledger::Book book_;
  ledger::Outbox outbox_;
  std::unique_ptr<storage::Committer> ledger_committer_;
  std::uint64_t ledger_turn_ = 0;
  std::vector<std::string> ledger_records_;  // of this turn
  bool stopping_ = false, measure_ = false;
  Micros stop_at_ = 0, remembered_at_ = 0;
  bool view_changed_ = false;
  Spent spent_;
};

// Writes JSON lines: {"time":..,"level":..,"event":..,"job":..,"attempt":..,"node":..,"text":..}.
std::shared_ptr<spdlog::logger> MakeLog(const std::string& file, const std::string& level,
                                        std::string* error);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_DAEMON_HPP_
