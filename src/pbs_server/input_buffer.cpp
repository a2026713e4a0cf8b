#include "pbs_server/input_buffer.hpp"

#include <algorithm>

namespace mountflow::pbs_server {

void InputBuffer::Append(std::string_view bytes, Micros arrived_at) {
  bytes_.append(bytes);
  RecordArrival(arrived_at);
}

pbs_protocol::DecodeResult InputBuffer::Next(pbs_protocol::Request* request) {
  std::string_view unread = bytes_;
  unread.remove_prefix(consumed_);
  if (unread.size() < needed_) return {};
  pbs_protocol::DecodeResult decoded = pbs_protocol::Decode(unread, request);
  if (decoded.state == pbs_protocol::DisState::kMore) needed_ = decoded.needs;
  if (decoded.state != pbs_protocol::DisState::kOk) return decoded;
  consumed_ += decoded.used;
  needed_ = 1;
  while (arrivals_.size() > 1 && arrivals_.front().end < consumed_) arrivals_.pop_front();
  return decoded;
}

void InputBuffer::Compact() {
  if (consumed_ != bytes_.size() && consumed_ <= kCompactionThreshold) return;
  bytes_.erase(0, consumed_);
  for (Arrival& arrival : arrivals_) arrival.end -= std::min(arrival.end, consumed_);
  consumed_ = 0;
}

Micros InputBuffer::ArrivalOfLastRequest(Micros now) const {
  return arrivals_.empty() ? now : arrivals_.front().at;
}

void InputBuffer::RecordArrival(Micros arrived_at) {
  if (arrivals_.size() >= kMaxArrivals) arrivals_.pop_back();
  arrivals_.push_back({bytes_.size(), arrived_at});
}

}  // namespace mountflow::pbs_server
