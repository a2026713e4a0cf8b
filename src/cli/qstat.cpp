#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "cli/common.hpp"

namespace mountflow::cli {
namespace {

using pbs_protocol::StatusObject;
using pbs_protocol::ValueOf;

std::string Cut(std::string_view text, std::size_t most) { return std::string(text.substr(0, most)); }

void Full(const StatusObject& o) {
  const char* head = o.type == pbs_protocol::ObjectType::kJob     ? "Job Id"
                     : o.type == pbs_protocol::ObjectType::kQueue ? "Queue"
                                                                  : "Server";
  std::printf("%s: %s\n", head, o.name.c_str());
  for (const pbs_protocol::Attribute& a : o.attributes) {
    const std::string name = a.resource.empty() ? a.name : a.name + "." + a.resource;
    std::printf("    %s = %s\n", name.c_str(), a.value.c_str());
  }
  std::printf("\n");
}

void Jobs(const std::vector<StatusObject>& objects, bool* headed) {
  for (const StatusObject& o : objects) {
    if (!*headed) {
      std::printf("%-30s %-16s %-16s %-8s %s %s\n", "Job id", "Name", "User", "Time Use", "S", "Queue");
      std::printf("%-30s %-16s %-16s %-8s %s %s\n", "------------------------------", "----------------",
                  "----------------", "--------", "-", "-----");
      *headed = true;
    }
    std::printf(
        "%-30s %-16s %-16s %8s %s %s\n", o.name.c_str(), Cut(ValueOf(o.attributes, "Job_Name"), 16).c_str(),
        Cut(ValueOf(o.attributes, "Job_Owner"), 16).c_str(), "0",
        Cut(ValueOf(o.attributes, "job_state"), 1).c_str(), Cut(ValueOf(o.attributes, "queue"), 32).c_str());
  }
}

void Queues(const std::vector<StatusObject>& objects) {
  std::printf("%-20s %6s %3s %3s %-40s %s\n", "Queue", "Tot", "Ena", "Str", "States", "Effect");
  for (const StatusObject& o : objects) {
    std::printf("%-20s %6s %3s %3s %-40s %s\n", o.name.c_str(),
                Cut(ValueOf(o.attributes, "total_jobs"), 6).c_str(),
                ValueOf(o.attributes, "enabled") == "True" ? "yes" : "no",
                ValueOf(o.attributes, "started") == "True" ? "yes" : "no",
                Cut(ValueOf(o.attributes, "state_count"), 40).c_str(),
                Cut(ValueOf(o.attributes, "effect"), 10).c_str());
  }
}

void Servers(const std::vector<StatusObject>& objects) {
  std::printf("%-20s %6s %6s %-40s %s\n", "Server", "Tot", "Nodes", "States", "Status");
  for (const StatusObject& o : objects) {
    std::printf(
        "%-20s %6s %6s %-40s %s\n", o.name.c_str(), Cut(ValueOf(o.attributes, "total_jobs"), 6).c_str(),
        Cut(ValueOf(o.attributes, "nodes"), 6).c_str(), Cut(ValueOf(o.attributes, "state_count"), 40).c_str(),
        Cut(ValueOf(o.attributes, "server_state"), 10).c_str());
  }
}

}  // namespace

int Qstat(int argc, char** argv) {
  CLI::App app{"qstat: shows the status of batch jobs, queues and servers"};
  app.set_help_flag("--help", "this text");
  bool full = false, queues = false, servers = false, history = false;
  std::vector<std::string> operands;
  app.add_flag("-f", full, "in full");
  app.add_flag("-Q", queues, "queues");
  app.add_flag("-B", servers, "servers");
  app.add_flag("-x", history, "complete jobs too");
  app.add_option("operand", operands, "job identifiers, destinations or servers");
  CLI11_PARSE(app, argc, argv);
  if (queues && servers) {
    std::fprintf(stderr, "qstat: -Q and -B exclude each other\n");
    return 2;
  }
  if (operands.empty()) operands.push_back("");
  int status = 0;
  bool headed = false;
  for (const std::string& operand : operands) {
    pbs_protocol::Request r = Make(pbs_protocol::RequestType::kStatusJob);
    std::string address = Daemons().front(), error;
    const bool job = !operand.empty() && operand[0] >= '0' && operand[0] <= '9' && !queues && !servers;
    if (servers) {
      r.type = pbs_protocol::RequestType::kStatusServer;
      if (!operand.empty()) address = AddressOfServer(operand);
    } else if (job) {
      JobRef ref;
      if (!ReadJobRef(operand, &ref, &error)) {
        std::fprintf(stderr, "qstat: %s\n", error.c_str());
        status = 1;
        continue;
      }
      r.id = ref.id;
      address = ref.address;
    } else {  // QUEUE, @SERVER or QUEUE@SERVER
      const std::size_t at = operand.find('@');
      r.id = operand.substr(0, at);
      if (at != std::string::npos) address = AddressOfServer(operand.substr(at + 1));
      if (queues) r.type = pbs_protocol::RequestType::kStatusQueue;
    }
    if (history && r.type == pbs_protocol::RequestType::kStatusJob && !job) r.extension = "x";
    pbs_protocol::Reply reply;
    if (!Call(address, r, &reply, &error)) {
      std::fprintf(stderr, "qstat: cannot connect to server: %s\n", error.c_str());
      status = 1;
      continue;
    }
    if (reply.code != pbs_protocol::Code::kNone) {
      std::fprintf(stderr, "qstat: %s %s\n", Complaint(reply).c_str(), operand.c_str());
      status = 1;
      continue;
    }
    if (full) {
      for (const StatusObject& o : reply.objects) Full(o);
    } else if (queues) {
      Queues(reply.objects);
    } else if (servers) {
      Servers(reply.objects);
    } else {
      Jobs(reply.objects, &headed);
    }
  }
  return status;
}

}  // namespace mountflow::cli
