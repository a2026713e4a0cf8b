// Compares texts and bytes with those recorded in a file of tests/data/, which has one "NAME VALUE" pair on
// each line. With MOUNTFLOW_RECORD_GOLDEN=1 in the environment, the file is written again instead, and a
// reviewer checks the differences.
#ifndef MOUNTFLOW_TESTS_SUPPORT_GOLDEN_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_GOLDEN_HPP_

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <string_view>

namespace mountflow::testing {

// Returns two lower-case hexadecimal digits for each byte.
inline std::string ToHex(std::string_view bytes) {
  static const char* const kDigits = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    hex += kDigits[static_cast<unsigned char>(c) >> 4];
    hex += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return hex;
}

// Collects the values of a test. Compare() reports values that differ from the file, are missing in it, or
// are only in the file.
class GoldenFile {
 public:
  explicit GoldenFile(const std::string& name) : path_(std::string(MOUNTFLOW_TEST_DATA) + "/" + name) {
    std::ifstream in(path_);
    std::string key, value;
    while (in >> key >> value) recorded_[key] = value;
  }
  void Add(const std::string& name, const std::string& value) {
    EXPECT_TRUE(written_.emplace(name, value).second) << name << " is written twice";
  }
  // Adds bytes as hexadecimal digits, or "-" if there are none.
  void AddBytes(const std::string& name, std::string_view bytes) {
    Add(name, bytes.empty() ? "-" : ToHex(bytes));
  }
  const std::map<std::string, std::string>& recorded() const { return recorded_; }

  // Compares the collected values with the file, or writes the file; see above.
  void Compare() const {
    if (std::getenv("MOUNTFLOW_RECORD_GOLDEN") != nullptr) {
      std::ofstream out(path_);
      for (const auto& [name, value] : written_) out << name << ' ' << value << '\n';
      return;
    }
    EXPECT_FALSE(recorded_.empty()) << path_ << ": expected recorded values";
    for (const auto& [name, value] : written_) {
      const auto it = recorded_.find(name);
      EXPECT_EQ(it == recorded_.end() ? "nothing" : it->second, value) << path_ << ": " << name;
    }
    for (const auto& [name, value] : recorded_) {
      EXPECT_TRUE(written_.count(name) > 0) << path_ << ": " << name << " is not written any more";
    }
  }

 private:
  std::string path_;
  std::map<std::string, std::string> recorded_, written_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_GOLDEN_HPP_
