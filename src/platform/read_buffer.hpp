// A buffer for the bytes of a connection that a message reader has received but not consumed yet.
#ifndef MOUNTFLOW_PLATFORM_READ_BUFFER_HPP_
#define MOUNTFLOW_PLATFORM_READ_BUFFER_HPP_

#include <cstddef>
#include <string>
#include <string_view>

namespace mountflow::platform {

// ReadBuffer is a byte queue. Consume() is cheap because consumed bytes are removed only by the next
// Append(). Not thread-safe.
class ReadBuffer {
 public:
  // Appends received bytes. Invalidates the result of earlier calls of unread().
  void Append(std::string_view bytes);

  // Returns the unread bytes. The result is valid until the next call of Append(), ReleaseIfEmpty() or
  // Clear().
  std::string_view unread() const { return std::string_view{bytes_}.substr(consumed_); }
  bool empty() const { return consumed_ == bytes_.size(); }

  // Skips the first `size` unread bytes. `size` must not exceed unread().size().
  void Consume(std::size_t size) { consumed_ += size; }

  // If no bytes are unread, empties the buffer and releases its memory if that has grown beyond
  // kMaxMessageBytes.
  void ReleaseIfEmpty();

  // Discards all bytes and releases the memory.
  void Clear();

 private:
  std::string bytes_;
  std::size_t consumed_ = 0;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_READ_BUFFER_HPP_
