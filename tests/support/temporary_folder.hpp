// A temporary directory for a test.
#ifndef MOUNTFLOW_TESTS_SUPPORT_TEMPORARY_FOLDER_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_TEMPORARY_FOLDER_HPP_

#include <cstdlib>
#include <filesystem>
#include <string>

namespace mountflow::testing {

// TemporaryFolder creates a new, empty directory. Its destructor removes the directory and its contents.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char path[] = "/tmp/mountflow-test-XXXXXX";
    if (mkdtemp(path) == nullptr) abort();
    path_ = path;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }
  // Returns the path of a file in the directory.
  std::string File(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_TEMPORARY_FOLDER_HPP_
