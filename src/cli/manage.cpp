// qdel, qhold, qrls, qalter, qselect, qsig, qrerun, qmove.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <optional>

#include "cli/common.hpp"

namespace mountflow::cli {
namespace {

using Operands = std::vector<std::string>;

// A command that sends one request a job and has no or one option.
int Simple(int argc, char** argv, const char* name, const char* what, const char* option,
           const char* option_help, std::string value,
           const std::function<pbs_protocol::Request(const JobRef&, const std::string&)>& make) {
  CLI::App app{std::string(name) + ": " + what};
  app.set_help_flag("--help", "this text");
  Operands jobs;
  if (option != nullptr)
    app.add_option(option, value, option_help)->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
  app.add_option("job", jobs, "job identifiers")->required();
  CLI11_PARSE(app, argc, argv);
  return ForEachJob(name, jobs, [&](const JobRef& ref) { return make(ref, value); });
}

pbs_protocol::Request Hold(pbs_protocol::RequestType type, const JobRef& ref, const std::string& types) {
  pbs_protocol::Request r = Make(type, ref.id);
  r.command = 2;
  Put(&r.attributes, "Hold_Types", types);
  return r;
}

}  // namespace

int Qdel(int argc, char** argv) {
  return Simple(argc, argv, "qdel", "deletes batch jobs", nullptr, nullptr, "",
                [](const JobRef& ref, const std::string&) {
                  pbs_protocol::Request r = Make(pbs_protocol::RequestType::kDeleteJob, ref.id);
                  r.command = 1;
                  return r;
                });
}

int Qhold(int argc, char** argv) {
  return Simple(argc, argv, "qhold", "holds batch jobs", "-h", "hold types, letters of u, o, s", "u",
                [](const JobRef& ref, const std::string& types) {
                  return Hold(pbs_protocol::RequestType::kHoldJob, ref, types);
                });
}

int Qrls(int argc, char** argv) {
  return Simple(argc, argv, "qrls", "releases holds on batch jobs", "-h", "hold types, letters of u, o, s",
                "u", [](const JobRef& ref, const std::string& types) {
                  return Hold(pbs_protocol::RequestType::kReleaseJob, ref, types);
                });
}

int Qsig(int argc, char** argv) {
  return Simple(argc, argv, "qsig", "signals batch jobs", "-s", "signal, by name or number", "SIGTERM",
                [](const JobRef& ref, const std::string& signal) {
                  pbs_protocol::Request r = Make(pbs_protocol::RequestType::kSignalJob, ref.id);
                  r.signal = signal;
                  return r;
                });
}

int Qrerun(int argc, char** argv) {
  return Simple(argc, argv, "qrerun", "reruns batch jobs", nullptr, nullptr, "",
                [](const JobRef& ref, const std::string&) {
                  return Make(pbs_protocol::RequestType::kRerunJob, ref.id);
                });
}

int Qmove(int argc, char** argv) {
  CLI::App app{"qmove: moves batch jobs to another queue of their server"};
  app.set_help_flag("--help", "this text");
  std::string destination;
  Operands jobs;
  app.add_option("destination", destination, "queue")->required();
  app.add_option("job", jobs, "job identifiers")->required();
  CLI11_PARSE(app, argc, argv);
  return ForEachJob("qmove", jobs, [&](const JobRef& ref) {
    pbs_protocol::Request r = Make(pbs_protocol::RequestType::kMoveJob, ref.id);
    r.destination = destination;
    return r;
  });
}

int Qalter(int argc, char** argv) {
  CLI::App app{"qalter: alters batch jobs that are not running"};
  app.set_help_flag("--help", "this text");
  std::optional<std::string> date, account, error_path, hold, join, name, output_path, rerun;
  std::optional<int> priority;
  std::vector<std::string> resources, additional;
  Operands jobs;
  app.add_option("-a", date, "not to be run before [[CC]YY]MMDDhhmm[.SS]");
  app.add_option("-A", account, "account (tenant)");
  app.add_option("-e", error_path, "path of the standard error");
  app.add_option("-h", hold, "hold types, letters of u, o, s, or n");
  app.add_option("-j", join, "oe, eo or n");
  app.add_option("-l", resources, "ncpus=N,mem=SIZE,walltime=HH:MM:SS")->allow_extra_args(false);
  app.add_option("-N", name, "name of the job");
  app.add_option("-o", output_path, "path of the standard output");
  app.add_option("-p", priority, "priority");
  app.add_option("-r", rerun, "y or n");
  app.add_option("-W", additional, "attribute=value,...")->allow_extra_args(false);
  app.add_option("job", jobs, "job identifiers")->required();
  CLI11_PARSE(app, argc, argv);
  pbs_protocol::Attributes list;
  std::string error;
  const auto fail = [&error] {
    std::fprintf(stderr, "qalter: %s\n", error.c_str());
    return 1;
  };
  const auto put = [&list](const char* attribute, const std::optional<std::string>& value) {
    if (value) Put(&list, attribute, *value);
  };
  if (date) {
    std::uint64_t seconds = 0;
    if (!ReadDateTime(*date, &seconds, &error)) return fail();
    Put(&list, "Execution_Time", std::to_string(seconds));
  }
  put("Account_Name", account), put("Error_Path", error_path), put("Hold_Types", hold),
      put("Join_Path", join);
  put("Job_Name", name), put("Output_Path", output_path), put("Rerunable", rerun);
  if (priority) Put(&list, "Priority", std::to_string(*priority));
  for (const std::string& one : resources) {
    if (!ReadResources(one, &list, &error)) return fail();
  }
  for (const std::string& one : additional) {
    if (!ReadAdditional(one, &list, &error)) return fail();
  }
  return ForEachJob("qalter", jobs, [&](const JobRef& ref) {
    pbs_protocol::Request r = Make(pbs_protocol::RequestType::kModifyJob, ref.id);
    r.command = 2;
    r.attributes = list;
    return r;
  });
}

namespace {

// "[.op.]value", the operator as POSIX qselect writes it.
bool WithOperator(const std::string& text, std::string* value, pbs_protocol::Op* op) {
  static const std::pair<const char*, pbs_protocol::Op> kOps[] = {
      {".eq.", pbs_protocol::Op::kEq}, {".ne.", pbs_protocol::Op::kNe}, {".ge.", pbs_protocol::Op::kGe},
      {".gt.", pbs_protocol::Op::kGt}, {".le.", pbs_protocol::Op::kLe}, {".lt.", pbs_protocol::Op::kLt}};
  *op = pbs_protocol::Op::kEq;
  *value = text;
  for (const auto& [name, number] : kOps) {
    if (text.rfind(name, 0) != 0) continue;
    *op = number;
    *value = text.substr(4);
    return true;
  }
  return text.empty() || text[0] != '.';
}

}  // namespace

int Qselect(int argc, char** argv) {
  CLI::App app{"qselect: writes the identifiers of batch jobs that meet all criteria"};
  app.set_help_flag("--help", "this text");
  std::optional<std::string> date, account, hold, name, priority, destination, rerun, states, users;
  std::vector<std::string> resources;
  app.add_option("-a", date, "[op]date_time: execution time");
  app.add_option("-A", account, "account");
  app.add_option("-h", hold, "hold types");
  app.add_option("-l", resources, "resource[op]value,...")->allow_extra_args(false);
  app.add_option("-N", name, "name");
  app.add_option("-p", priority, "[op]priority");
  app.add_option("-q", destination, "queue[@server]");
  app.add_option("-r", rerun, "y or n");
  app.add_option("-s", states, "states, letters of EHQRWC");
  app.add_option("-u", users, "user");
  CLI11_PARSE(app, argc, argv);
  pbs_protocol::Request r = Make(pbs_protocol::RequestType::kSelectJobs);
  std::string error, value;
  pbs_protocol::Op op = pbs_protocol::Op::kEq;
  const auto fail = [](const std::string& text) {
    std::fprintf(stderr, "qselect: %s\n", text.c_str());
    return 1;
  };
  const auto put = [&r](const char* attribute, const std::string& wanted, pbs_protocol::Op how,
                        const std::string& resource = "") {
    r.attributes.push_back({attribute, resource, wanted, how});
  };
  if (date) {
    std::uint64_t seconds = 0;
    if (!WithOperator(*date, &value, &op) || !ReadDateTime(value, &seconds, &error))
      return fail("illegal -a value");
    put("Execution_Time", std::to_string(seconds), op);
  }
  if (account) put("Account_Name", *account, pbs_protocol::Op::kEq);
  if (hold) put("Hold_Types", *hold, pbs_protocol::Op::kEq);
  if (name) put("Job_Name", *name, pbs_protocol::Op::kEq);
  if (priority) {
    if (!WithOperator(*priority, &value, &op)) return fail("illegal -p value");
    put("Priority", value, op);
  }
  if (rerun) put("Rerunable", *rerun == "y" ? "True" : "False", pbs_protocol::Op::kEq);
  if (states) {
    if (states->find_first_not_of("EHQRTWC") != std::string::npos)
      return fail("illegal -s value: expected EHQRWC");
    put("job_state", *states, pbs_protocol::Op::kEq);
  }
  if (users) put("Job_Owner", *users, pbs_protocol::Op::kEq);
  for (const std::string& list : resources) {
    std::size_t from = 0;
    while (from <= list.size()) {
      const std::size_t comma = list.find(',', from);
      const std::string one = list.substr(from, comma - from);
      const std::size_t dot = one.find('.');
      const std::size_t equals = one.find('=');
      if (dot != std::string::npos && dot + 4 <= one.size() && one[dot + 3] == '.') {
        if (!WithOperator(one.substr(dot), &value, &op)) return fail("illegal -l value: " + one);
        put("Resource_List", value, op, one.substr(0, dot));
      } else if (equals != std::string::npos) {
        put("Resource_List", one.substr(equals + 1), pbs_protocol::Op::kEq, one.substr(0, equals));
      } else {
        return fail("illegal -l value: expected resource.op.value, got '" + one + "'");
      }
      if (comma == std::string::npos) break;
      from = comma + 1;
    }
  }
  std::string address = Daemons().front();
  if (destination) {
    const std::size_t at = destination->find('@');
    if (at != std::string::npos) address = AddressOfServer(destination->substr(at + 1));
    if (at != 0) put("queue", destination->substr(0, at), pbs_protocol::Op::kEq);
  }
  pbs_protocol::Reply reply;
  if (!Call(address, r, &reply, &error)) return fail("cannot connect to server: " + error);
  if (reply.code != pbs_protocol::Code::kNone) return fail(Complaint(reply));
  for (const std::string& id : reply.ids) std::printf("%s\n", id.c_str());
  return 0;
}

}  // namespace mountflow::cli
