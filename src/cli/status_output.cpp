#include "cli/status_output.hpp"

#include <cstdio>
#include <string>

namespace mountflow::cli {
namespace {

using pbs_protocol::StatusObject;

constexpr char kJobRow[] = "%-30s %-16s %-16s %-8s %s %s\n";

const char* TypeTitle(pbs_protocol::ObjectType type) {
  if (type == pbs_protocol::ObjectType::kJob) return "Job Id";
  if (type == pbs_protocol::ObjectType::kQueue) return "Queue";
  return "Server";
}

// Returns the value of an attribute, truncated to the width of its column.
std::string Cell(const StatusObject& object, const char* attribute, std::size_t width) {
  return std::string(pbs_protocol::ValueOf(object.attributes, attribute).substr(0, width));
}

const char* YesOrNo(const StatusObject& object, const char* attribute) {
  return pbs_protocol::ValueOf(object.attributes, attribute) == "True" ? "yes" : "no";
}

}  // namespace

void PrintInFull(const StatusObject& object) {
  std::printf("%s: %s\n", TypeTitle(object.type), object.name.c_str());
  for (const pbs_protocol::Attribute& attribute : object.attributes) {
    const std::string& resource = attribute.resource;
    const std::string name = resource.empty() ? attribute.name : attribute.name + "." + resource;
    std::printf("    %s = %s\n", name.c_str(), attribute.value.c_str());
  }
  std::printf("\n");
}

void PrintJobHeading() {
  std::printf(kJobRow, "Job id", "Name", "User", "Time Use", "S", "Queue");
  std::printf(kJobRow, "------------------------------", "----------------", "----------------", "--------",
              "-", "-----");
}

void PrintJobs(const std::vector<StatusObject>& jobs) {
  for (const StatusObject& job : jobs) {
    std::printf("%-30s %-16s %-16s %8s %s %s\n", job.name.c_str(), Cell(job, "Job_Name", 16).c_str(),
                Cell(job, "Job_Owner", 16).c_str(), "0", Cell(job, "job_state", 1).c_str(),
                Cell(job, "queue", 32).c_str());
  }
}

void PrintQueues(const std::vector<StatusObject>& queues) {
  std::printf("%-20s %6s %3s %3s %-40s %s\n", "Queue", "Tot", "Ena", "Str", "States", "Effect");
  for (const StatusObject& queue : queues) {
    std::printf("%-20s %6s %3s %3s %-40s %s\n", queue.name.c_str(), Cell(queue, "total_jobs", 6).c_str(),
                YesOrNo(queue, "enabled"), YesOrNo(queue, "started"), Cell(queue, "state_count", 40).c_str(),
                Cell(queue, "effect", 10).c_str());
  }
}

void PrintServers(const std::vector<StatusObject>& servers) {
  std::printf("%-20s %6s %6s %-40s %s\n", "Server", "Tot", "Nodes", "States", "Status");
  for (const StatusObject& server : servers) {
    std::printf("%-20s %6s %6s %-40s %s\n", server.name.c_str(), Cell(server, "total_jobs", 6).c_str(),
                Cell(server, "nodes", 6).c_str(), Cell(server, "state_count", 40).c_str(),
                Cell(server, "server_state", 10).c_str());
  }
}

}  // namespace mountflow::cli
