// Bytes of a connection that the kernel has not taken yet.
#ifndef MOUNTFLOW_EVENT_LOOP_WRITE_BUFFER_HPP_
#define MOUNTFLOW_EVENT_LOOP_WRITE_BUFFER_HPP_

#include <cstddef>
#include <string>
#include <system_error>

namespace mountflow::event_loop {

// Not bounded: whoever appends checks size() first.
class WriteBuffer {
 public:
  // Where further bytes are appended; what it holds already must not be changed.
  [[nodiscard]] std::string* tail() { return &bytes_; }

  // Hands the non-blocking socket `fd` as much as it takes. A full socket is no error.
  [[nodiscard]] std::error_code WriteTo(int fd);

  [[nodiscard]] std::size_t size() const { return bytes_.size() - written_; }
  [[nodiscard]] bool empty() const { return size() == 0; }

 private:
  void Compact();

  std::string bytes_;
  std::size_t written_ = 0;  // the first bytes of bytes_ that the kernel has
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_WRITE_BUFFER_HPP_
