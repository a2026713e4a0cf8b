// Decodes the records of the simulator's frames to events.
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

// The number of a scheduler instance among those that one process hosts.
using InstanceId = std::uint16_t;

// An event that starts a scheduler, which replaces one with the same instance number.
struct StartInstance {
  std::uint64_t seed = 0;
  std::string settings;  // settings text, see settings::ParseSettings
};
// An event that stops a scheduler.
struct StopInstance {};

// The values of a load report, in the order of WireSettings::report_names of the instance.
using RawReport = std::vector<float>;

// A decoded event for one instance.
struct WireEvent {
  std::variant<StartInstance, StopInstance, Event> body;
  RawReport report;  // load report of an AttemptEnded or a HealthCheckResult
};

// Decodes batches of records; each frame holds one batch. One Decoder serves all batches, because a frame may
// refer by number to a node list from an earlier frame. Not thread-safe.
class Decoder {
 public:
  // Sets `*now` to the time of the batch and calls `sink(instance, event)` for each event in order. `body` is
  // the frame without its length field. If a record is malformed, the events before it have already been
  // passed to `sink` and later ones are not.
  template <typename Sink>
  [[nodiscard]] tl::expected<void, WireError> Decode(std::span<const std::uint8_t> body, Micros* now,
                                                     Sink&& sink);

 private:
  static constexpr std::size_t kNodeLists = 16;

  // Decodes one record. Returns true if it is an event for the selected instance; returns false for other
  // records and after an error, which the reader stores.
  bool DecodeRecord(RecordReader* reader, WireEvent* event);
  void SelectInstance(RecordReader* reader);
  void StoreNodeList(RecordReader* reader);
  NodeListUpdate DecodeNodeListUpdate(RecordReader* reader) const;

  std::array<std::vector<NodeEntry>, kNodeLists> node_lists_;
  InstanceId instance_ = 0;
  bool instance_selected_ = false;  // whether the current frame has selected an instance
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
