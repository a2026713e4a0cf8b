#include "storage/storage_error.hpp"

namespace mountflow::storage {

std::string Describe(const StorageError& error) {
  std::string text = error.file;
  if (error.offset) text += " at byte " + std::to_string(*error.offset);
  if (!text.empty()) text += ": ";
  switch (error.code) {
    case StorageErrorCode::kSystem:
      if (!error.operation.empty()) text += error.operation + ": ";
      return text + error.system.message();
    case StorageErrorCode::kLocked:
      return text + "another process holds it";
    case StorageErrorCode::kDamaged:
    case StorageErrorCode::kTooLarge:
    case StorageErrorCode::kInvalidArgument:
      text += "expected " + error.expected;
      if (!error.found.empty()) text += ", found " + error.found;
      return text;
  }
  return text;
}

}  // namespace mountflow::storage
