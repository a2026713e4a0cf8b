// The idempotency keys of the tasks on the nodes of one rack. At most one task holds a key.
#ifndef MOUNTFLOW_NODE_AGENT_IDEMPOTENCY_KEY_STORE_HPP_
#define MOUNTFLOW_NODE_AGENT_IDEMPOTENCY_KEY_STORE_HPP_

#include <map>
#include <string>

namespace mountflow::node_agent {

// Maps idempotency keys to the attempts that hold them. The nodes of a rack share one store. Not thread-safe:
// all of them must run on one thread.
class IdempotencyKeyStore {
 public:
  // Makes `attempt` the holder of the key. Returns false, and changes nothing, if an attempt already holds
  // it.
  bool Acquire(const std::string& key, const std::string& attempt) {
    return holders_.emplace(key, attempt).second;
  }
  // Releases the key. Does nothing unless `attempt` holds it.
  void Release(const std::string& key, const std::string& attempt) {
    const auto holder = holders_.find(key);
    if (holder != holders_.end() && holder->second == attempt) holders_.erase(holder);
  }
  // Returns the attempt that holds the key, or null. The pointer is valid until the key is released.
  [[nodiscard]] const std::string* FindHolder(const std::string& key) const {
    const auto holder = holders_.find(key);
    return holder == holders_.end() ? nullptr : &holder->second;
  }

 private:
  std::map<std::string, std::string> holders_;  // key to attempt
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_IDEMPOTENCY_KEY_STORE_HPP_
