// The few file operations that durable state needs, behind an interface, so that
// tests can fail or cut each of them. All names are within one folder.
#ifndef MOUNTFLOW_STORAGE_FILES_HPP_
#define MOUNTFLOW_STORAGE_FILES_HPP_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mountflow::storage {

// Every call returns false with the reason when it fails; a failed Append may have written a part.
class Files {
 public:
  virtual ~Files() = default;
  virtual bool List(std::vector<std::string>* names, std::string* error) = 0;
  virtual bool Read(const std::string& name, std::string* bytes, std::string* error) = 0;
  virtual bool Create(const std::string& name, std::string* error) = 0;  // must not be there
  virtual bool Append(const std::string& name, std::string_view bytes, std::string* error) = 0;
  virtual bool Sync(const std::string& name, std::string* error) = 0;  // data and size
  virtual bool SyncFolder(std::string* error) = 0;                     // names
  virtual bool Rename(const std::string& from, const std::string& to, std::string* error) = 0;
  virtual bool Truncate(const std::string& name, std::size_t size, std::string* error) = 0;
  virtual bool Remove(const std::string& name, std::string* error) = 0;
};

// A folder of the system's. It is locked for this process while the object lives.
class PosixFiles : public Files {
 public:
  // Makes the folder where it lacks (its parent must be there). Null with the reason, also when another
  // process holds it.
  static std::unique_ptr<PosixFiles> Open(const std::string& folder, std::string* error);
  ~PosixFiles() override;

  bool List(std::vector<std::string>* names, std::string* error) override;
  bool Read(const std::string& name, std::string* bytes, std::string* error) override;
  bool Create(const std::string& name, std::string* error) override;
  bool Append(const std::string& name, std::string_view bytes, std::string* error) override;
  bool Sync(const std::string& name, std::string* error) override;
  bool SyncFolder(std::string* error) override;
  bool Rename(const std::string& from, const std::string& to, std::string* error) override;
  bool Truncate(const std::string& name, std::size_t size, std::string* error) override;
  bool Remove(const std::string& name, std::string* error) override;

 private:
  PosixFiles(std::string folder, int fd, int lock) : folder_(std::move(folder)), fd_(fd), lock_(lock) {}
  bool Fail(const std::string& name, const char* what, std::string* error) const;
  int Writing(const std::string& name);
  void Forget(const std::string& name);
  std::string folder_;
  int fd_, lock_;
  std::map<std::string, int> open_;  // for appending
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_FILES_HPP_
