// What the batch commands share: where the daemon is, job identifiers, messages
// and exit statuses as POSIX.1 states them (Shell & Utilities, chapter 3).
#ifndef MOUNTFLOW_CLI_COMMON_HPP_
#define MOUNTFLOW_CLI_COMMON_HPP_

#include <functional>
#include <string>
#include <vector>

#include "pbs_client/pbs_client.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::cli {

// PBS_DEFAULT names the daemons, "ip:port" or several with commas; else the default port on this machine.
std::vector<std::string> Daemons();
// The address for "@SERVER" of an identifier or destination: an address, or a name out of
// PBS_SERVERS="name=ip:port,...".
std::string AddressOfServer(const std::string& server);

// A job identifier: sequence_number[.server_name][@server].
struct JobRef {
  std::string id;       // as sent
  std::string address;  // where
};
bool ReadJobRef(const std::string& text, JobRef* ref, std::string* error);

// Calls a daemon once, with a time-out; prints nothing.
bool Call(const std::string& address, pbs_protocol::Request request, pbs_protocol::Reply* reply,
          std::string* error);

// Runs one request for each operand; messages go to standard error. Returns the exit status: 0 when all
// succeeded, else 1.
int ForEachJob(const std::string& command, const std::vector<std::string>& operands,
               const std::function<pbs_protocol::Request(const JobRef&)>& make);

std::string Complaint(const pbs_protocol::Reply& reply);
pbs_protocol::Request Make(pbs_protocol::RequestType type, std::string id = "");

// Shared parsers of option arguments.
// "ncpus=2,mem=1gb" into Resource_List attributes.
bool ReadResources(const std::string& text, pbs_protocol::Attributes* list, std::string* error);
// POSIX touch time [[CC]YY]MMDDhhmm[.SS] as seconds since the epoch; a time that is past in the short forms
// is the next day's, month's or year's.
bool ReadDateTime(const std::string& text, std::uint64_t* seconds, std::string* error);
// "a=b,c=d" additional attributes; depth of commas inside quotes is respected.
bool ReadAdditional(const std::string& text, pbs_protocol::Attributes* list, std::string* error);
void Put(pbs_protocol::Attributes* list, const std::string& name, const std::string& value,
         const std::string& resource = "");

// The entry points.
int Qsub(int argc, char** argv);
int Qstat(int argc, char** argv);
int Qdel(int argc, char** argv);
int Qhold(int argc, char** argv);
int Qrls(int argc, char** argv);
int Qalter(int argc, char** argv);
int Qselect(int argc, char** argv);
int Qsig(int argc, char** argv);
int Qrerun(int argc, char** argv);
int Qmove(int argc, char** argv);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_COMMON_HPP_
