#include "tls/keys.hpp"

#include <sys/stat.h>

namespace mountflow::tls {

// Time, size and inode: a file that was replaced or written differs in one of them.
std::string Keys::Stamp() const {
  std::string stamp;
  const Options& o = context_.options();
  for (const std::string* file : {&o.ca, &o.certificate, &o.key}) {
    struct stat s {};
    if (!file->empty() && stat(file->c_str(), &s) == 0) {
      stamp += std::to_string(s.st_mtim.tv_sec) + "." + std::to_string(s.st_mtim.tv_nsec) + "/" +
               std::to_string(s.st_size) + "/" + std::to_string(s.st_ino);
    }
    stamp += ";";
  }
  return stamp;
}

bool Keys::Start(Micros now, std::string* error) {
  if (!on_) return true;
  renewal_.Look(now, Stamp());
  const bool good = context_.Load(error);
  renewal_.Loaded(good, *error);
  renewal_.Consider(now, context_.Expiries());
  return good;
}

void Keys::Poll(Micros now) {
  if (!on_ || !renewal_.Due(now)) return;
  if (renewal_.Look(now, Stamp())) {
    std::string error;
    const bool good = context_.Load(&error);
    renewal_.Loaded(good, error);
  }
  renewal_.Consider(now, context_.Expiries());
}

std::unique_ptr<event_loop::ConnectionFilter> Keys::Session(const std::string& address) {
  return on_ ? context_.NewSession(address.substr(0, address.rfind(':'))) : nullptr;
}

}  // namespace mountflow::tls
