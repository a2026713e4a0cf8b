// An owned file descriptor.
#ifndef MOUNTFLOW_NODE_AGENT_UNIQUE_FD_HPP_
#define MOUNTFLOW_NODE_AGENT_UNIQUE_FD_HPP_

#include <unistd.h>

#include <utility>

namespace mountflow::node_agent {

// Owns a file descriptor and closes it on destruction.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}  // negative: no descriptor
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, kNone)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  ~UniqueFd() {
    if (fd_ >= 0) close(fd_);
  }
  [[nodiscard]] int get() const { return fd_; }
  [[nodiscard]] bool IsOpen() const { return fd_ >= 0; }

 private:
  static constexpr int kNone = -1;
  int fd_ = kNone;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_UNIQUE_FD_HPP_
