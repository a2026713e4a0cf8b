// Prints the status of jobs, queues and servers to standard output, in the forms of qstat.
#ifndef MOUNTFLOW_CLI_STATUS_OUTPUT_HPP_
#define MOUNTFLOW_CLI_STATUS_OUTPUT_HPP_

#include <vector>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::cli {

// All attributes, one a line.
void PrintInFull(const pbs_protocol::StatusObject& object);

// The heading of the table of jobs, and its rows.
void PrintJobHeading();
void PrintJobs(const std::vector<pbs_protocol::StatusObject>& jobs);

// Tables with their headings.
void PrintQueues(const std::vector<pbs_protocol::StatusObject>& queues);
void PrintServers(const std::vector<pbs_protocol::StatusObject>& servers);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_STATUS_OUTPUT_HPP_
