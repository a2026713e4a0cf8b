// Hosts one Scheduler per instance and answers batches of the wire.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "simulator_adapter/codec.hpp"

namespace mountflow::simulator_adapter {

class Drill {
 public:
  // Answers one batch; `body` is the frame without its length field. Throws
  // WireError when the frame cannot be read.
  std::string Answer(std::span<const std::uint8_t> body);

 private:
  struct Hosted {
    Scheduler scheduler;
    std::vector<std::string> report_names;
  };
  void Take(Micros now, Instance instance, WireEvent* event, Encoder* reply);

  Decoder decoder_;
  std::map<Instance, Hosted> hosted_;
  std::vector<Action> actions_;
};

// Serves frames from `in` until its end. Returns the exit status; what went
// wrong is told on `errors`.
int Serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_SERVER_HPP_
