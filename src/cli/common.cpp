#include "cli/common.hpp"

#include <time.h>

#include <cctype>
#include <cstdio>
#include <cstdlib>

namespace mountflow::cli {
namespace {

constexpr Micros kTimeout = 10'000'000;
const char kDefault[] = "127.0.0.1:15001";

std::vector<std::string> Split(const std::string& text, char by) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  for (;;) {
    const std::size_t at = text.find(by, from);
    parts.push_back(text.substr(from, at - from));
    if (at == std::string::npos) return parts;
    from = at + 1;
  }
}

}  // namespace

std::vector<std::string> Daemons() {
  const char* stated = std::getenv("PBS_DEFAULT");
  std::vector<std::string> daemons;
  if (stated != nullptr) {
    for (const std::string& one : Split(stated, ',')) {
      if (!one.empty()) daemons.push_back(AddressOfServer(one));
    }
  }
  if (daemons.empty()) daemons.push_back(kDefault);
  return daemons;
}

std::string AddressOfServer(const std::string& server) {
  if (server.find(':') != std::string::npos) return server;
  const char* known = std::getenv("PBS_SERVERS");
  if (known != nullptr) {
    for (const std::string& one : Split(known, ',')) {
      const std::size_t equals = one.find('=');
      if (equals != std::string::npos && one.substr(0, equals) == server) return one.substr(equals + 1);
    }
  }
  return server + ":15001";
}

bool ReadJobRef(const std::string& text, JobRef* ref, std::string* error) {
  const std::size_t at = text.find('@');
  ref->id = text.substr(0, at);
  const std::string digits = ref->id.substr(0, ref->id.find('.'));
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos) {
    *error = "illegally formed job identifier: " + text;
    return false;
  }
  if (at != std::string::npos) {
    ref->address = AddressOfServer(text.substr(at + 1));
    return true;
  }
  // The server's own name leads there when it is known; else the default does.
  const std::size_t dot = ref->id.find('.');
  const std::string server = dot == std::string::npos ? "" : ref->id.substr(dot + 1);
  ref->address = Daemons().front();
  if (!server.empty()) {
    const std::string known = AddressOfServer(server);
    if (known != server + ":15001") ref->address = known;
  }
  return true;
}

bool Call(const std::string& address, pbs_protocol::Request request, pbs_protocol::Reply* reply,
          std::string* error) {
  pbs_client::Client client;
  return client.Connect(address, kTimeout, error) && client.Call(request, reply, kTimeout, error);
}

std::string Complaint(const pbs_protocol::Reply& reply) {
  std::string text = pbs_protocol::Describe(reply.code);
  if (reply.choice == pbs_protocol::Choice::kText && !reply.text.empty())
    text += text.empty() ? reply.text : ": " + reply.text;
  return text;
}

pbs_protocol::Request Make(pbs_protocol::RequestType type, std::string id) {
  pbs_protocol::Request r;
  r.type = type;
  r.user = pbs_client::UserName() + "@" + pbs_client::HostName();
  r.id = std::move(id);
  return r;
}

int ForEachJob(const std::string& command, const std::vector<std::string>& operands,
               const std::function<pbs_protocol::Request(const JobRef&)>& make) {
  int status = 0;
  for (const std::string& operand : operands) {
    JobRef ref;
    std::string error;
    pbs_protocol::Reply reply;
    if (!ReadJobRef(operand, &ref, &error)) {
      std::fprintf(stderr, "%s: %s\n", command.c_str(), error.c_str());
      status = 1;
    } else if (!Call(ref.address, make(ref), &reply, &error)) {
      std::fprintf(stderr, "%s: cannot connect to server: %s\n", command.c_str(), error.c_str());
      status = 1;
    } else if (reply.code != pbs_protocol::Code::kNone) {
      std::fprintf(stderr, "%s: %s %s\n", command.c_str(), Complaint(reply).c_str(), operand.c_str());
      status = 1;
    }
  }
  return status;
}

void Put(pbs_protocol::Attributes* list, const std::string& name, const std::string& value,
         const std::string& resource) {
  for (pbs_protocol::Attribute& a : *list) {
    if (a.name != name || a.resource != resource) continue;
    a.value = value;
    return;
  }
  list->push_back({name, resource, value, pbs_protocol::Op::kSet});
}

bool ReadResources(const std::string& text, pbs_protocol::Attributes* list, std::string* error) {
  for (const std::string& one : Split(text, ',')) {
    const std::size_t equals = one.find('=');
    if (equals == std::string::npos || equals == 0 || equals + 1 == one.size()) {
      *error = "illegal -l value: expected resource=value, got '" + one + "'";
      return false;
    }
    Put(list, "Resource_List", one.substr(equals + 1), one.substr(0, equals));
  }
  return true;
}

bool ReadAdditional(const std::string& text, pbs_protocol::Attributes* list, std::string* error) {
  std::string one;
  char quote = 0;
  const auto end = [&] {
    const std::size_t equals = one.find('=');
    if (equals == std::string::npos || equals == 0) {
      *error = "illegal -W value: expected attribute=value, got '" + one + "'";
      return false;
    }
    Put(list, one.substr(0, equals), one.substr(equals + 1));
    one.clear();
    return true;
  };
  for (char c : text) {
    if (quote != 0 ? c == quote : c == '"' || c == '\'') {
      quote = quote != 0 ? 0 : c;
    } else if (c == ',' && quote == 0) {
      if (!end()) return false;
    } else {
      one.push_back(c);
    }
  }
  return end();
}

bool ReadDateTime(const std::string& text, std::uint64_t* seconds, std::string* error) {
  std::string digits = text;
  int sec = 0;
  const std::size_t dot = text.find('.');
  const auto bad = [&] {
    *error = "illegal -a value: expected [[CC]YY]MMDDhhmm[.SS], got '" + text + "'";
    return false;
  };
  if (dot != std::string::npos) {
    digits = text.substr(0, dot);
    const std::string rest = text.substr(dot + 1);
    if (rest.size() != 2 || !std::isdigit(rest[0]) || !std::isdigit(rest[1])) return bad();
    sec = std::atoi(rest.c_str());
  }
  if (digits.find_first_not_of("0123456789") != std::string::npos) return bad();
  if (digits.size() != 4 && digits.size() != 6 && digits.size() != 8 && digits.size() != 10 &&
      digits.size() != 12) {
    return bad();
  }
  const time_t now = time(nullptr);
  tm when{};
  localtime_r(&now, &when);
  const auto part = [&digits](std::size_t from_end) {
    return std::atoi(digits.substr(digits.size() - from_end, 2).c_str());
  };
  when.tm_sec = sec;
  when.tm_min = part(2);
  when.tm_hour = part(4);
  if (digits.size() >= 6) when.tm_mday = part(6);
  if (digits.size() >= 8) when.tm_mon = part(8) - 1;
  if (digits.size() >= 10) {
    const int yy = part(10);
    when.tm_year = digits.size() == 12 ? part(12) * 100 + yy - 1900 : yy < 69 ? yy + 100 : yy;
  }
  if (when.tm_min > 59 || when.tm_hour > 23 || sec > 60 || when.tm_mday < 1 || when.tm_mday > 31 ||
      when.tm_mon < 0 || when.tm_mon > 11) {
    return bad();
  }
  when.tm_isdst = -1;
  time_t at = mktime(&when);
  if (at < now && digits.size() < 10) {  // what is not stated is the next that is not past
    if (digits.size() == 4) ++when.tm_mday;
    if (digits.size() == 6) ++when.tm_mon;
    if (digits.size() == 8) ++when.tm_year;
    when.tm_isdst = -1;
    at = mktime(&when);
  }
  if (at < 0) return bad();
  *seconds = static_cast<std::uint64_t>(at);
  return true;
}

}  // namespace mountflow::cli
