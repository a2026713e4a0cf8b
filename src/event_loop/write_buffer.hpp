// Buffer for the bytes of a connection that are not yet written to its socket.
#ifndef MOUNTFLOW_EVENT_LOOP_WRITE_BUFFER_HPP_
#define MOUNTFLOW_EVENT_LOOP_WRITE_BUFFER_HPP_

#include <cstddef>
#include <string>
#include <system_error>

namespace mountflow::event_loop {

// Holds the bytes that are not written yet. Has no size limit: callers check size() before they append.
class WriteBuffer {
 public:
  // Returns the string to append further bytes to. Its existing content must not be changed.
  [[nodiscard]] std::string* tail() { return &bytes_; }

  // Writes as many bytes as the non-blocking socket `fd` accepts. A full socket buffer is not an error.
  [[nodiscard]] std::error_code WriteTo(int fd);

  [[nodiscard]] std::size_t size() const { return bytes_.size() - written_; }
  [[nodiscard]] bool empty() const { return size() == 0; }

 private:
  void Compact();

  std::string bytes_;
  std::size_t written_ = 0;  // number of bytes at the front of bytes_ that are written
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_WRITE_BUFFER_HPP_
