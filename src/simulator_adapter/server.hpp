// Hosts schedulers for the simulator: one Scheduler an instance, batches of events in, batches of actions
// out.
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

// Not thread-safe.
class SimulatorServer {
 public:
  // Answers one batch; `body` is the frame without its length field. Where one instance fails, as by settings
  // that cannot be read, the reply says so and the others go on.
  [[nodiscard]] tl::expected<std::string, WireError> AnswerBatch(std::span<const std::uint8_t> body);

 private:
  struct Instance {
    Scheduler scheduler;
    std::vector<std::string> report_names;
  };

  void HandleEvent(Micros now, InstanceId id, WireEvent* event, Encoder* reply);
  void Start(InstanceId id, const StartInstance& start, Encoder* reply);
  void PassToScheduler(Micros now, InstanceId id, WireEvent* event, Encoder* reply);

  Decoder decoder_;
  std::map<InstanceId, Instance> instances_;
  std::vector<Action> actions_;  // of one event; kept for its memory
};

// Serves frames from `in` until its end. Returns the exit status: 0, or 1 after an error, which is written to
// `errors`.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_
