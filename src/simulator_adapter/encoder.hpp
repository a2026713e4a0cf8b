// Encodes the actions that reply to a frame of the simulator as records.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_ENCODER_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_ENCODER_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "mountflow/scheduler.hpp"
#include "simulator_adapter/decoder.hpp"
#include "simulator_adapter/record_codes.hpp"

namespace mountflow::simulator_adapter {

// Builds the reply to one batch; each batch needs a new Encoder. Not thread-safe.
class Encoder {
 public:
  // Adds an action of an instance.
  void AddAction(InstanceId instance, const Action& action);
  // Adds a record that reports that the instance failed. Truncates `message` to 65535 bytes.
  void AddPanic(InstanceId instance, std::string_view message);
  // Returns the complete reply, including its header.
  [[nodiscard]] std::string Frame() const;

 private:
  void AddRecord(const StartAttempt& action);
  void AddRecord(const CancelAttempt& action);
  void AddRecord(const RejectTask& action);
  void AddRecord(const FailTask& action);
  void AddRecord(const MigrateTask& action);
  void AddRecord(const SetTimer& action);
  void AddRecord(const StartHealthCheck& action);
  void AddRecord(const WatchNodes& action);
  void AddRecord(const ListNodes& action);
  void AddRecord(const LogLine& action);

  // Adds a record that selects `instance`, unless it is selected already.
  void SelectInstance(InstanceId instance);
  void BeginRecord(ActionCode code);
  void PutU8(std::uint8_t value);
  void PutU16(std::uint16_t value);
  void PutU32(std::uint32_t value);
  void PutU64(std::uint64_t value);
  void PutText(std::string_view text);

  std::string records_;
  std::uint32_t record_count_ = 0;
  InstanceId instance_ = 0;
  bool instance_selected_ = false;
};

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_ENCODER_HPP_
