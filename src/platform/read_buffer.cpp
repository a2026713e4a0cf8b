#include "platform/read_buffer.hpp"

#include "platform/transport.hpp"

namespace mountflow::platform {

void ReadBuffer::Append(std::string_view bytes) {
  if (consumed_ > 0) {
    bytes_.erase(0, consumed_);
    consumed_ = 0;
  }
  bytes_.append(bytes);
}

void ReadBuffer::ReleaseIfEmpty() {
  if (!empty()) return;
  if (bytes_.capacity() > kMaxMessageBytes) return Clear();
  bytes_.clear();
  consumed_ = 0;
}

void ReadBuffer::Clear() {
  std::string().swap(bytes_);
  consumed_ = 0;
}

}  // namespace mountflow::platform
