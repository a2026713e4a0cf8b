#include "simulator_adapter/encoder.hpp"

#include <algorithm>
#include <bit>
#include <cstring>
#include <limits>
#include <variant>

namespace mountflow::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "the protocol is little-endian");

constexpr std::size_t kMaxTextBytes = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint8_t kWatchOn = 1;

template <typename T>
void Append(std::string* bytes, T value) {
  char field[sizeof value];
  std::memcpy(field, &value, sizeof value);
  bytes->append(field, sizeof value);
}

}  // namespace

void Encoder::PutU8(std::uint8_t value) { Append(&records_, value); }
void Encoder::PutU16(std::uint16_t value) { Append(&records_, value); }
void Encoder::PutU32(std::uint32_t value) { Append(&records_, value); }
void Encoder::PutU64(std::uint64_t value) { Append(&records_, value); }

void Encoder::PutText(std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  PutU16(static_cast<std::uint16_t>(text.size()));
  records_.append(text);
}

void Encoder::BeginRecord(ActionCode code) {
  PutU8(static_cast<std::uint8_t>(code));
  ++record_count_;
}

void Encoder::SelectInstance(InstanceId instance) {
  if (instance_selected_ && instance_ == instance) return;
  BeginRecord(ActionCode::kSelectInstance);
  PutU16(instance);
  instance_ = instance;
  instance_selected_ = true;
}

void Encoder::AddPanic(InstanceId instance, std::string_view message) {
  SelectInstance(instance);
  BeginRecord(ActionCode::kPanic);
  PutText(message);
}

void Encoder::AddAction(InstanceId instance, const Action& action) {
  SelectInstance(instance);
  std::visit([this](const auto& alternative) { AddRecord(alternative); }, action);
}

void Encoder::AddRecord(const StartAttempt& action) {
  BeginRecord(ActionCode::kStartAttempt);
  PutU32(action.request);
  PutU64(action.deadline);
  PutU32(action.node);
}

void Encoder::AddRecord(const CancelAttempt& action) {
  BeginRecord(ActionCode::kCancelAttempt);
  PutU32(action.request);
  PutU16(static_cast<std::uint16_t>(action.attempt));
}

void Encoder::AddRecord(const RejectTask& action) {
  BeginRecord(ActionCode::kRejectTask);
  PutU32(action.request);
  PutU32(static_cast<std::uint32_t>(
      std::min<Micros>(action.retry_after, std::numeric_limits<std::uint32_t>::max())));
}

void Encoder::AddRecord(const FailTask& action) {
  BeginRecord(ActionCode::kFailTask);
  PutU32(action.request);
}

void Encoder::AddRecord(const MigrateTask& action) {
  BeginRecord(ActionCode::kMigrateTask);
  PutU32(action.request);
}

void Encoder::AddRecord(const SetTimer& action) {
  BeginRecord(ActionCode::kSetTimer);
  PutU64(action.at);
  PutU64(action.token);
}

void Encoder::AddRecord(const StartHealthCheck& action) {
  BeginRecord(ActionCode::kStartHealthCheck);
  PutU32(action.node);
}

void Encoder::AddRecord(const WatchNodes&) {
  BeginRecord(ActionCode::kWatchNodes);
  PutU8(kWatchOn);
}

void Encoder::AddRecord(const ListNodes&) { BeginRecord(ActionCode::kListNodes); }

void Encoder::AddRecord(const LogLine& action) {
  BeginRecord(ActionCode::kLogLine);
  PutText(action.text);
}

std::string Encoder::Frame() const {
  std::string frame;
  Append(&frame, static_cast<std::uint32_t>(records_.size() + sizeof record_count_));
  Append(&frame, record_count_);
  return frame + records_;
}

}  // namespace mountflow::simulator_adapter
