// Output of qstat: prints the status of jobs, queues and servers to standard output.
#ifndef MOUNTFLOW_CLI_STATUS_OUTPUT_HPP_
#define MOUNTFLOW_CLI_STATUS_OUTPUT_HPP_

#include <vector>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::cli {

// Prints all attributes of an object, one on each line.
void PrintInFull(const pbs_protocol::StatusObject& object);

// Print the heading and the rows of the table of jobs.
void PrintJobHeading();
void PrintJobs(const std::vector<pbs_protocol::StatusObject>& jobs);

// Print a table of queues or servers with its heading.
void PrintQueues(const std::vector<pbs_protocol::StatusObject>& queues);
void PrintServers(const std::vector<pbs_protocol::StatusObject>& servers);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_STATUS_OUTPUT_HPP_
