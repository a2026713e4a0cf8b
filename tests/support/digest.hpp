// A digest of a stream of values, for tests that compare a whole run with one recorded before.
#ifndef MOUNTFLOW_TESTS_SUPPORT_DIGEST_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_DIGEST_HPP_

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <type_traits>

namespace mountflow::testing {

// Values are taken at a fixed width, so that the digest depends neither on a type's name nor on its size.
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
  // Without its length: pieces of one stream count alike however they are cut.
  void AddUnframed(std::string_view text) { XXH3_64bits_update(state_.get(), text.data(), text.size()); }
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
