// Between the attributes of the batch protocol and the core's job: one table
// of names for clients, daemon and nodes.
#ifndef MOUNTFLOW_BATCH_TRANSLATE_HPP_
#define MOUNTFLOW_BATCH_TRANSLATE_HPP_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "core/job.hpp"
#include "core/messages.hpp"
#include "pbs/protocol.hpp"

namespace mountflow::batch {

// The words of one deployment, and the bounds of what a job may ask for.
struct Vocabulary {
  std::vector<std::string> queues;   // classes
  std::vector<std::string> tenants;  // accounts; empty: any account is tenant 0
  std::string default_queue;         // empty: a job must name one
  double memory_unit = 1073741824;   // bytes of one unit of memory
  double most_cores = 4096;          // of one job
  double most_memory = 1048576;      // units, of one job
};

struct Problem {
  pbs::Code code = pbs::Code::kNone;
  std::string text;  // names the attribute and what was expected
};

// Reads the attributes of a submission into `spec`, or of a change to it
// (`change`: what a user may not alter is kReadOnly). Unknown names are
// kNoAttribute.
Problem Read(const pbs::Attributes& list, const std::string& destination, const Vocabulary& words,
             bool change, core::JobSpec* spec);

// The attributes of a job for a node: what it needs to run and to report it.
pbs::Attributes ForNode(const core::JobSpec& spec, const Vocabulary& words);

// All attributes of a job as status replies show them.
pbs::Attributes ForStatus(const core::Core& core, const core::Job& job, const Vocabulary& words);

// The reply code of a command's verdict.
pbs::Code CodeOf(core::Verdict verdict);

// "512mb", "2gb", "1024" (bytes) and the like in bytes; false when it is not a size.
bool ReadSize(std::string_view text, double* bytes);
std::string WriteSize(double bytes);
// "SS", "MM:SS", "HH:MM:SS", with a fraction of a second allowed, in microseconds.
bool ReadTime(std::string_view text, Micros* time);
std::string WriteTime(Micros time);
bool ReadNumber(std::string_view text, double* number);
bool ReadCount(std::string_view text, std::uint64_t* number);

// A node's load in a reply or a report: "x0=.. x1=.. queue=.. util=..".
std::string WriteLoad(const LoadReport& report);
LoadReport ReadLoad(std::string_view text);

}  // namespace mountflow::batch

#endif  // MOUNTFLOW_BATCH_TRANSLATE_HPP_
