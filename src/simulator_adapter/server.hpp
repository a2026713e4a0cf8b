// Hosts schedulers for the simulator. Each instance is one Scheduler; the server receives batches of events
// and replies with batches of actions.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "simulator_adapter/decoder.hpp"
#include "simulator_adapter/encoder.hpp"

namespace mountflow::simulator_adapter {

// Runs the scheduler instances. Not thread-safe.
class SimulatorServer {
 public:
  // Handles one batch and returns the reply frame. `body` is the frame without its length field. If an
  // instance fails, for example because its settings are invalid, the reply reports it and the other
  // instances continue.
  [[nodiscard]] tl::expected<std::string, WireError> AnswerBatch(std::span<const std::uint8_t> body);

 private:
  // A running scheduler and the names of the values in its load reports.
  struct Instance {
    Scheduler scheduler;
    std::vector<std::string> report_names;
  };

  void HandleEvent(Micros now, InstanceId id, WireEvent* event, Encoder* reply);
  void Start(InstanceId id, const StartInstance& start, Encoder* reply);
  void PassToScheduler(Micros now, InstanceId id, WireEvent* event, Encoder* reply);

  Decoder decoder_;
  std::map<InstanceId, Instance> instances_;
  std::vector<Action> actions_;  // actions of one event; a member so that its memory is reused
};

// Serves frames from `in` until the end of the input. Returns the exit status: 0, or 1 after an error, which
// is written to `errors`.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_
