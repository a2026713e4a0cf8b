// Names that clients of one deployment may use, and limits on the resources of one job.
#ifndef MOUNTFLOW_PBS_SERVER_VOCABULARY_HPP_
#define MOUNTFLOW_PBS_SERVER_VOCABULARY_HPP_

#include <string>
#include <vector>

namespace mountflow::pbs_server {

struct Vocabulary {
  std::vector<std::string> queues;   // one for each task class, in the same order
  std::vector<std::string> tenants;  // accounts; if empty, any account belongs to tenant 0
  std::string default_queue;         // if empty, a job must name its queue
  double memory_unit = 1073741824;   // bytes in one unit of memory
  double max_cores = 4096;           // limit of one job
  double max_memory = 1048576;       // limit of one job, in memory units
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_VOCABULARY_HPP_
