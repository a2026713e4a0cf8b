// Decodes the simulator's frames: records to events.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_DECODER_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_DECODER_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "simulator_adapter/record_reader.hpp"

namespace mountflow::simulator_adapter {

// Numbers the schedulers that one process hosts.
using InstanceId = std::uint16_t;

struct StartInstance {
  std::uint64_t seed = 0;
  std::string settings;  // the text that settings::ParseSettings reads
};
struct StopInstance {};

// The values of a load report in the order that the instance's settings name.
using RawReport = std::vector<float>;

struct WireEvent {
  std::variant<StartInstance, StopInstance, Event> body;
  RawReport report;  // of an AttemptEnded or a HealthCheckResult
};

// Decodes the records of batches, one frame a batch. Node lists are numbered for the whole process and a
// frame may refer to one of an earlier frame, so one Decoder serves all batches. Not thread-safe.
class Decoder {
 public:
  // Calls `sink(instance, event)` for each event in order. `body` is the frame without its length field.
  // After an error the events before it have been passed on already; nothing of the rest is.
  template <typename Sink>
  [[nodiscard]] tl::expected<void, WireError> Decode(std::span<const std::uint8_t> body, Micros* now,
                                                     Sink&& sink);

 private:
  static constexpr std::size_t kNodeLists = 16;

  // Decodes one record; true if it is an event for the selected instance. False also after an error of the
  // reader.
  bool DecodeRecord(RecordReader* reader, WireEvent* event);
  void SelectInstance(RecordReader* reader);
  void StoreNodeList(RecordReader* reader);
  NodeListUpdate DecodeNodeListUpdate(RecordReader* reader) const;

  std::array<std::vector<NodeEntry>, kNodeLists> node_lists_;
  InstanceId instance_ = 0;
  bool instance_selected_ = false;  // in the current frame
};

template <typename Sink>
tl::expected<void, WireError> Decoder::Decode(std::span<const std::uint8_t> body, Micros* now, Sink&& sink) {
  RecordReader reader(body);
  *now = reader.U64("the clock");
  instance_selected_ = false;
  while (reader.remaining() > 0) {
    WireEvent event;
    if (DecodeRecord(&reader, &event)) sink(instance_, event);
  }
  if (reader.error()) return tl::make_unexpected(*reader.error());
  return {};
}

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_DECODER_HPP_
