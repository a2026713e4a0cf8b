// The batch clients of a rehearsal: each job is submitted over a connection of
// its own, its answer awaited there; keyed ones are asked for again, at the next
// daemon, when no reply comes. Everything goes into the clients' log.
#ifndef MOUNTFLOW_TOOLS_CHAOS_WORKLOAD_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_WORKLOAD_HPP_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "pbs_protocol/protocol.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/scenario.hpp"

namespace mountflow::chaos {

class Clients : public event_loop::ConnectionHandler {
 public:
  // `daemons`: addresses of the client taps. `limits`: how long an owner waits, by queue.
  Clients(event_loop::EventLoop* loop, Recorder* recorder, std::vector<std::string> daemons,
          std::map<std::string, Micros> limits, std::uint64_t seed);

  void Start(const std::vector<Load>& load, Micros until);
  void SetRate(double factor) { rate_ = factor; }
  // Owners stop this share of their services and ask for all tasks again within the time.
  void Reconnect(double share, Micros within);
  // Cancels so many of the jobs that are in the making, each at a moment of its own placing.
  void CancelSome(int count);
  void GoneBeforeCommit();  // a client that goes away mid-submission
  void HalfFrame();
  std::size_t open() const { return jobs_.size(); }
  std::uint64_t submitted() const { return submitted_; }
  const std::map<std::string, std::uint64_t>& answers() const { return answers_; }

  void OnConnected(event_loop::ConnId conn) override;
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override;

 private:
  enum class Step { kQueue, kCommit, kAnswer };
  struct Client {
    std::uint64_t number = 0;
    Load load;
    std::size_t shape = 0;
    std::string service, key, life;
    std::size_t daemon = 0;
    event_loop::ConnId conn = 0;
    Step step = Step::kQueue;
    unsigned replies = 0;
    std::string id, input;
    Micros first = 0, deadline = 0, earlier_until = 0;
    unsigned tries = 0;
    bool cancel = false;  // to be cancelled once its id is known
  };
  struct Running {  // answered as placed: may be stopped and asked for anew
    std::string id;
    std::size_t daemon = 0;
    Load load;
    std::string service;
    Micros until = 0;
  };
  void Arrive(std::size_t which, Micros until);
  void Submit(const Load& load, const std::string& service);
  void Try(Client& client);
  void AskForAnswer(Client& client);  // of a job that was committed, or may be
  void Handle(Client& client, const pbs_protocol::Reply& reply);
  void Finish(std::uint64_t number, const char* event, const std::string& answer, const std::string& text);
  void Retry(Client& client, const std::string& why);
  void Delete(std::size_t daemon, const std::string& id);
  void Log(const Client& client, const char* event, json more);

  event_loop::EventLoop* loop_;
  Recorder* recorder_;
  std::vector<std::string> daemons_;
  std::map<std::string, Micros> limits_;
  std::mt19937_64 random_;
  std::vector<Load> load_;
  double rate_ = 1.0;
  std::uint64_t next_ = 0, submitted_ = 0;
  std::map<std::uint64_t, Client> jobs_;
  std::map<event_loop::ConnId, std::uint64_t> of_conn_;
  std::vector<Running> running_;
  std::map<std::string, std::uint64_t> answers_;
  int to_cancel_ = 0;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_WORKLOAD_HPP_
