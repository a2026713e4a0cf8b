#include "tls/keys.hpp"

#include <sys/stat.h>

namespace mountflow::tls {

std::string Keys::FileStamp() const {
  std::string stamp;
  const Options& options = context_.options();
  for (const std::string* file : {&options.ca, &options.certificate, &options.key}) {
    struct stat status {};
    if (!file->empty() && stat(file->c_str(), &status) == 0) {
      stamp += std::to_string(status.st_mtim.tv_sec) + "." + std::to_string(status.st_mtim.tv_nsec) + "/" +
               std::to_string(status.st_size) + "/" + std::to_string(status.st_ino);
    }
    stamp += ";";
  }
  return stamp;
}

TlsStatus Keys::Start(Micros now) {
  if (!on_) return {};
  renewal_.CheckFiles(now, FileStamp());
  TlsStatus status = context_.Load();
  renewal_.OnLoaded(status);
  renewal_.CheckExpiries(now, context_.Expiries());
  return status;
}

void Keys::Poll(Micros now) {
  if (!on_ || !renewal_.Due(now)) return;
  if (renewal_.CheckFiles(now, FileStamp())) renewal_.OnLoaded(context_.Load());
  renewal_.CheckExpiries(now, context_.Expiries());
}

std::unique_ptr<event_loop::ConnectionFilter> Keys::Session(const std::string& address) {
  return on_ ? context_.NewSession(address.substr(0, address.rfind(':'))) : nullptr;
}

}  // namespace mountflow::tls
