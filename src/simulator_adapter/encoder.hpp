// Encodes the reply to one frame of the simulator: actions to records.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_ENCODER_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_ENCODER_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "mountflow/scheduler.hpp"
#include "simulator_adapter/decoder.hpp"
#include "simulator_adapter/record_codes.hpp"

namespace mountflow::simulator_adapter {

// Builds the reply to one batch; a new Encoder for each. Not thread-safe.
class Encoder {
 public:
  void AddAction(InstanceId instance, const Action& action);
  // Says that the instance cannot go on; a message beyond 65535 bytes is cut.
  void AddPanic(InstanceId instance, std::string_view message);
  // The whole reply, with its header.
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

  void SelectInstance(InstanceId instance);  // adds a record if another instance was selected
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
