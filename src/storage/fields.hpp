// Compact fields of records, written and read by one list: numbers of variable
// length (7 bits a byte), signed ones folded, strings with their length.
#ifndef MOUNTFLOW_STORAGE_FIELDS_HPP_
#define MOUNTFLOW_STORAGE_FIELDS_HPP_

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace mountflow::storage {

// One list of fields for both directions, so that they cannot drift.
class FieldWriter {
 public:
  explicit FieldWriter(std::string* to) : to_(to) {}
  void operator()(const char*, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) to_->push_back(static_cast<char>(value | 0x80));
    to_->push_back(static_cast<char>(value));
  }
  void operator()(const char* name, std::uint32_t value) { (*this)(name, std::uint64_t{value}); }
  void operator()(const char* name, bool value) { (*this)(name, std::uint64_t{value}); }
  void operator()(const char* name, int value) {  // small ones of either sign stay short
    const std::int64_t v = value;
    (*this)(name, static_cast<std::uint64_t>(v) << 1 ^ static_cast<std::uint64_t>(v >> 63));
  }
  __extension__ void operator()(const char* name, __int128 value) {
    const auto wide = static_cast<unsigned __int128>(value);
    (*this)(name, static_cast<std::uint64_t>(wide));
    (*this)(name, static_cast<std::uint64_t>(wide >> 64));
  }
  void operator()(const char* name, std::int64_t value) {
    (*this)(name, static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> 63));
  }
  void operator()(const char*, double value) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    for (int i = 0; i < 8; ++i) to_->push_back(static_cast<char>(bits >> (8 * i) & 255));
  }
  void operator()(const char* name, const std::string& value) {
    (*this)(name, std::uint64_t{value.size()});
    *to_ += value;
  }
  template <typename T>
  void Enum(const char* name, T value, T) {
    (*this)(name, static_cast<std::uint64_t>(value));
  }
  template <typename T, typename F>
  void List(const char* name, const std::vector<T>& list, F each) {
    (*this)(name, std::uint64_t{list.size()});
    for (const T& one : list) each(const_cast<T&>(one));
  }

 private:
  std::string* to_;
};

class FieldReader {
 public:
  FieldReader(std::string_view from, std::string* expected) : from_(from), expected_(expected) {}
  void operator()(const char* name, std::uint64_t& value) {
    value = 0;
    for (unsigned shift = 0; good_ && shift < 64; shift += 7) {
      if (at_ >= from_.size()) return Fail(name, "a number");
      const auto byte = static_cast<unsigned char>(from_[at_++]);
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return;
    }
    if (good_) Fail(name, "a number of 64 bits");
  }
  void operator()(const char* name, std::uint32_t& value) {
    std::uint64_t wide = 0;
    (*this)(name, wide);
    if (good_ && wide > 0xffffffffu) return Fail(name, "a number of 32 bits");
    value = static_cast<std::uint32_t>(wide);
  }
  void operator()(const char* name, bool& value) {
    std::uint64_t wide = 0;
    (*this)(name, wide);
    if (good_ && wide > 1) return Fail(name, "0 or 1");
    value = wide == 1;
  }
  void operator()(const char* name, int& value) {
    std::uint64_t wide = 0;
    (*this)(name, wide);
    const auto v = static_cast<std::int64_t>(wide >> 1 ^ (~(wide & 1) + 1));
    if (good_ && (v > 0x7fffffff || v < -0x7fffffffLL - 1)) return Fail(name, "a number of 32 bits");
    value = static_cast<int>(v);
  }
  __extension__ void operator()(const char* name, __int128& value) {
    std::uint64_t low = 0, high = 0;
    (*this)(name, low);
    (*this)(name, high);
    value = static_cast<__int128>(static_cast<unsigned __int128>(high) << 64 | low);
  }
  void operator()(const char* name, std::int64_t& value) {
    std::uint64_t wide = 0;
    (*this)(name, wide);
    value = static_cast<std::int64_t>(wide >> 1 ^ (~(wide & 1) + 1));
  }
  void operator()(const char* name, double& value) {
    if (!good_ || from_.size() - at_ < 8) return Fail(name, "eight bytes");
    std::uint64_t bits = 0;
    for (int i = 0; i < 8; ++i)
      bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(from_[at_++])) << (8 * i);
    std::memcpy(&value, &bits, sizeof bits);
  }
  void operator()(const char* name, std::string& value) {
    std::uint64_t size = 0;
    (*this)(name, size);
    if (!good_ || size > from_.size() - at_) return Fail(name, "as many bytes as are told");
    value.assign(from_.substr(at_, size));
    at_ += size;
  }
  template <typename T>
  void Enum(const char* name, T& value, T most) {
    std::uint64_t wide = 0;
    (*this)(name, wide);
    if (good_ && wide > static_cast<std::uint64_t>(most)) return Fail(name, "a value that is known");
    value = static_cast<T>(wide);
  }
  template <typename T, typename F>
  void List(const char* name, std::vector<T>& list, F each) {
    std::uint64_t size = 0;
    (*this)(name, size);
    if (!good_ || size > from_.size() - at_) return Fail(name, "as many entries as are told");
    list.resize(size);
    for (T& one : list) {
      if (good_) each(one);
    }
  }
  bool good() const { return good_; }
  bool AtEnd() {
    if (good_ && at_ != from_.size()) Fail("end", "nothing more");
    return good_;
  }

 private:
  void Fail(const char* name, const char* what) {
    if (!good_) return;
    good_ = false;
    *expected_ = std::string(name) + " at byte " + std::to_string(at_) + ": " + what;
  }
  std::string_view from_;
  std::string* expected_;
  std::size_t at_ = 0;
  bool good_ = true;
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_FIELDS_HPP_
