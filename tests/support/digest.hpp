// A digest of a sequence of values, for tests that compare a whole run with a recorded one.
#ifndef MOUNTFLOW_TESTS_SUPPORT_DIGEST_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_DIGEST_HPP_

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <type_traits>

namespace mountflow::testing {

// Computes a 64-bit XXH3 digest. Integers and enumerators are added as 64-bit values, so that the digest does
// not depend on the size of their type.
class Digest {
 public:
  Digest() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }

  template <typename T>
  requires std::is_integral_v<T> || std::is_enum_v<T>
  void Add(T value) { AddBytes(static_cast<std::uint64_t>(value)); }
  void Add(double value) { AddBytes(value); }
  void Add(std::string_view text) {
    Add(text.size());
    AddUnframed(text);
  }
  // Adds the text without its length, so that the digest does not depend on how a stream is divided into
  // pieces.
  void AddUnframed(std::string_view text) { XXH3_64bits_update(state_.get(), text.data(), text.size()); }
  // Returns the digest of all values added so far.
  std::uint64_t Value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  template <typename T>
  void AddBytes(const T& value) {
    XXH3_64bits_update(state_.get(), &value, sizeof value);
  }
  struct Free {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  std::unique_ptr<XXH3_state_t, Free> state_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_DIGEST_HPP_
