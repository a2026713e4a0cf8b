// The bytes of a connection that a message reader has received and not consumed yet.
#ifndef MOUNTFLOW_PLATFORM_READ_BUFFER_HPP_
#define MOUNTFLOW_PLATFORM_READ_BUFFER_HPP_

#include <cstddef>
#include <string>
#include <string_view>

namespace mountflow::platform {

// Consuming is cheap: consumed bytes are dropped only by the next Append(). Not thread-safe.
class ReadBuffer {
 public:
  // Invalidates what unread() returned before.
  void Append(std::string_view bytes);

  // Valid until the next call of Append(), ReleaseIfEmpty() or Clear().
  std::string_view unread() const { return std::string_view{bytes_}.substr(consumed_); }
  bool empty() const { return consumed_ == bytes_.size(); }

  // Skips the first `size` unread bytes. `size` must not exceed unread().size().
  void Consume(std::size_t size) { consumed_ += size; }

  // Where nothing is unread: gives back the memory that one long read has taken.
  void ReleaseIfEmpty();

  // Drops everything and gives the memory back.
  void Clear();

 private:
  std::string bytes_;
  std::size_t consumed_ = 0;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_READ_BUFFER_HPP_
