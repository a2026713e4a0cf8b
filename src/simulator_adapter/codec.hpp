// The wire's frames and records: bytes to events, actions to bytes.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_CODEC_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_CODEC_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::simulator_adapter {

// A frame that cannot be read; the text names the offset and what was expected.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Instance = std::uint16_t;

struct StartInstance {
  std::uint64_t seed = 0;
  std::string settings;
};
struct StopInstance {};
// A load report as it came: values in the order that the settings name.
using RawReport = std::vector<float>;
struct WireEvent {
  std::variant<StartInstance, StopInstance, Event> body;
  RawReport report;  // of an Outcome or a ProbeResult
};

// Reads the records of one batch. Lists of machines are numbered for the whole
// process, so one Decoder serves all batches.
class Decoder {
 public:
  // Calls `sink(instance, event)` for each event in order. `body` is the frame
  // without its length field. Throws WireError.
  template <typename Sink>
  void Decode(std::span<const std::uint8_t> body, Micros* now, Sink&& sink);

 private:
  class Reader;
  bool Next(Reader* reader, WireEvent* event);

  static constexpr std::size_t kPages = 16;
  std::array<std::vector<NodeEntry>, kPages> pages_;
  Instance instance_ = 0;
  bool named_ = false;
};

class Decoder::Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}
  template <typename T>
  T Get(const char* what);
  std::span<const std::uint8_t> Bytes(std::size_t count, const char* what);
  std::size_t Left() const { return bytes_.size() - at_; }
  std::size_t At() const { return at_ + kLengthField; }
  [[noreturn]] void Fail(const std::string& expected) const;

 private:
  static constexpr std::size_t kLengthField = 4;  // offsets name bytes of the frame
  std::span<const std::uint8_t> bytes_;
  std::size_t at_ = 0;
};

// Builds the reply to one batch.
class Encoder {
 public:
  void Act(Instance instance, const Action& action);
  void Panic(Instance instance, std::string_view message);
  std::string Frame() const;  // the whole reply, with its header

 private:
  void Open(Instance instance, std::uint8_t code);
  template <typename T>
  void Put(T value);
  void Text(std::string_view text);

  std::string records_;
  std::uint32_t count_ = 0;
  Instance instance_ = 0;
  bool named_ = false;
};

template <typename Sink>
void Decoder::Decode(std::span<const std::uint8_t> body, Micros* now, Sink&& sink) {
  Reader reader(body);
  *now = reader.Get<std::uint64_t>("the clock");
  named_ = false;
  while (reader.Left() > 0) {
    WireEvent event;
    if (Next(&reader, &event)) sink(instance_, event);
  }
}

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_CODEC_HPP_
