#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

#include "cli/common.hpp"
#include "cli/directives.hpp"

extern char** environ;

namespace mountflow::cli {
namespace {

struct Options {
  std::optional<std::string> account, prefix, error_path, join, keep, mail, mail_users, name, output_path,
      destination, rerun, shell, variables, date, checkpoint, users;
  std::optional<int> priority;
  std::vector<std::string> resources, additional;
  bool hold = false, all_variables = false, quiet = false, interactive = false;
  std::vector<std::string> operands;
};

// One table of options for the command line and for the script's directives.
void Bind(CLI::App* app, Options* o) {
  const auto last = CLI::MultiOptionPolicy::TakeLast;
  app->add_option("-a", o->date, "not to be run before [[CC]YY]MMDDhhmm[.SS]")->multi_option_policy(last);
  app->add_option("-A", o->account, "account (tenant)")->multi_option_policy(last);
  app->add_option("-c", o->checkpoint, "checkpoint interval (taken, without effect)")
      ->multi_option_policy(last);
  app->add_option("-C", o->prefix, "directive prefix")->multi_option_policy(last)->expected(1);
  app->add_option("-e", o->error_path, "path of the standard error")->multi_option_policy(last);
  app->add_flag("-h", o->hold, "user hold");
  app->add_option("-j", o->join, "oe or eo: join the outputs; n: not")->multi_option_policy(last);
  app->add_option("-k", o->keep, "files to keep (taken, without effect)")->multi_option_policy(last);
  app->add_option("-l", o->resources, "ncpus=N,mem=SIZE,walltime=HH:MM:SS")->allow_extra_args(false);
  app->add_option("-m", o->mail, "mail points (taken, without effect)")->multi_option_policy(last);
  app->add_option("-M", o->mail_users, "mail users (taken, without effect)")->multi_option_policy(last);
  app->add_option("-N", o->name, "name of the job")->multi_option_policy(last);
  app->add_option("-o", o->output_path, "path of the standard output")->multi_option_policy(last);
  app->add_option("-p", o->priority, "priority, -1024 to 1023")->multi_option_policy(last);
  app->add_option("-q", o->destination, "queue[@server]")->multi_option_policy(last);
  app->add_option("-r", o->rerun, "y or n: rerunnable")->multi_option_policy(last);
  app->add_option("-S", o->shell, "shell path list (taken, without effect)")->multi_option_policy(last);
  app->add_option("-u", o->users, "user list (taken, without effect)")->multi_option_policy(last);
  app->add_option("-v", o->variables, "variables to hand over")->multi_option_policy(last);
  app->add_flag("-V", o->all_variables, "hand over all variables");
  app->add_option("-W", o->additional, "service=NAME,key=KEY,owner_time=TIME,block=true|answer,retries=N")
      ->allow_extra_args(false);
  app->add_flag("-z", o->quiet, "do not write the job identifier");
  app->add_flag("-I", o->interactive, "interactive jobs: not served");
  app->add_option("script", o->operands, "script file; - or nothing: standard input")->expected(0, 1);
}

std::string Escaped(const std::string& value) {
  std::string out;
  for (char c : value) {
    if (c == ',' || c == '\\') out.push_back('\\');
    out.push_back(c);
  }
  return out;
}

std::string VariableList(const Options& o, const std::string& destination) {
  std::string list;
  const auto add = [&list](const std::string& name, const std::string& value) {
    list += (list.empty() ? "" : ",") + name + "=" + Escaped(value);
  };
  for (const char* name : {"HOME", "LANG", "LOGNAME", "PATH", "MAIL", "SHELL", "TZ"}) {
    const char* value = std::getenv(name);
    if (value != nullptr) add(std::string("PBS_O_") + name, value);
  }
  char cwd[4096] = "";
  if (getcwd(cwd, sizeof cwd) != nullptr) add("PBS_O_WORKDIR", cwd);
  add("PBS_O_HOST", pbs_client::HostName());
  add("PBS_O_QUEUE", destination);
  if (o.all_variables) {
    for (char** one = environ; *one != nullptr; ++one) {
      const std::string text = *one;
      const std::size_t equals = text.find('=');
      if (equals != std::string::npos && equals > 0) add(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  if (o.variables) {
    std::istringstream in(*o.variables);
    for (std::string one; std::getline(in, one, ',');) {
      const std::size_t equals = one.find('=');
      if (equals != std::string::npos) {
        add(one.substr(0, equals), one.substr(equals + 1));
      } else if (const char* value = std::getenv(one.c_str()); value != nullptr) {
        add(one, value);
      }
    }
  }
  return list;
}

int Fail(const std::string& text) {
  std::fprintf(stderr, "qsub: %s\n", text.c_str());
  return 1;
}

// Waits for the answer, then for the end if that was asked for.
int Block(const std::string& id, const std::string& server, bool until_end) {
  for (const char* what : {"wait=answer", "wait=end"}) {
    pbs_protocol::Reply reply;
    for (;;) {
      pbs_client::Client client;
      std::string error;
      pbs_protocol::Request r = Make(pbs_protocol::RequestType::kStatusJob, id);
      r.extension = std::string(what) + ",seconds=300";
      if (!client.Connect(server, 10'000'000, &error) || !client.Call(r, &reply, 330'000'000, &error)) {
        return Fail("waiting for " + id + ": " + error);
      }
      if (reply.code != pbs_protocol::Code::kNone || reply.objects.empty())
        return Fail(Complaint(reply) + " " + id);
      const std::string_view state = pbs_protocol::ValueOf(reply.objects[0].attributes, "job_state");
      const bool there = what == std::string("wait=end")
                             ? state == "C"
                             : !pbs_protocol::ValueOf(reply.objects[0].attributes, "answer").empty();
      if (there) break;
    }
    const pbs_protocol::Attributes& list = reply.objects[0].attributes;
    const std::string_view answer = pbs_protocol::ValueOf(list, "answer");
    if (answer != "placed") {
      return Fail("job " + id + " " + std::string(answer) + ": " +
                  std::string(pbs_protocol::ValueOf(list, "comment")));
    }
    if (!until_end) return 0;
    if (what == std::string("wait=end")) {
      const std::string status(pbs_protocol::ValueOf(list, "exit_status"));
      return status.empty() ? 1 : std::atoi(status.c_str()) & 255;
    }
  }
  return 0;
}

}  // namespace

int Qsub(int argc, char** argv) {
  Options o;
  {
    Options first;  // the prefix and the script come from the command line alone
    CLI::App app{"qsub: submits a script as a batch job"};
    app.set_help_flag("--help", "this text");
    Bind(&app, &first);
    CLI11_PARSE(app, argc, argv);
    o.operands = first.operands;
    o.prefix = first.prefix;
  }
  std::string script, name = "STDIN";
  if (o.operands.empty() || o.operands[0] == "-") {
    script.assign(std::istreambuf_iterator<char>(std::cin), {});
  } else {
    std::ifstream in(o.operands[0], std::ios::binary);
    if (!in) return Fail("cannot open script file: " + o.operands[0]);
    script.assign(std::istreambuf_iterator<char>(in), {});
    name = o.operands[0].substr(o.operands[0].rfind('/') + 1);
  }
  std::string prefix = "#PBS";
  if (const char* stated = std::getenv("PBS_DPREFIX"); stated != nullptr) prefix = stated;
  if (o.prefix) prefix = *o.prefix;
  const Directives found = ReadDirectives(script, prefix);
  if (!found.error.empty()) return Fail(found.error);

  // Directives first, then the command line, which wins.
  std::vector<std::string> line(argv + 1, argv + argc);
  for (const std::vector<std::string>* args :
       {&found.arguments, const_cast<const std::vector<std::string>*>(&line)}) {
    CLI::App app{"qsub"};
    app.set_help_flag("--help");
    Options fresh;
    Bind(&app, &fresh);
    try {
      std::vector<std::string> reversed(args->rbegin(), args->rend());
      app.parse(reversed);
    } catch (const CLI::ParseError& e) {
      return Fail((args == &found.arguments ? "directive: " : "") + std::string(e.what()));
    }
    const auto over = [](auto* to, const auto& from) {
      if (from) *to = from;
    };
    over(&o.account, fresh.account), over(&o.error_path, fresh.error_path), over(&o.join, fresh.join);
    over(&o.keep, fresh.keep), over(&o.mail, fresh.mail), over(&o.mail_users, fresh.mail_users);
    over(&o.name, fresh.name), over(&o.output_path, fresh.output_path),
        over(&o.destination, fresh.destination);
    over(&o.rerun, fresh.rerun), over(&o.shell, fresh.shell), over(&o.variables, fresh.variables);
    over(&o.date, fresh.date), over(&o.checkpoint, fresh.checkpoint), over(&o.users, fresh.users);
    over(&o.priority, fresh.priority);
    o.resources.insert(o.resources.end(), fresh.resources.begin(), fresh.resources.end());
    o.additional.insert(o.additional.end(), fresh.additional.begin(), fresh.additional.end());
    o.hold |= fresh.hold, o.all_variables |= fresh.all_variables, o.quiet |= fresh.quiet;
    o.interactive |= fresh.interactive;
  }
  if (o.interactive) return Fail("-I: interactive jobs are not served; submit a script");

  pbs_client::Submission s;
  s.user = pbs_client::UserName() + "@" + pbs_client::HostName();
  pbs_protocol::Attributes& list = s.attributes;
  std::string error;
  if (o.name) name = *o.name;
  if (name.empty() || name.size() > 236 || std::isspace(static_cast<unsigned char>(name[0]))) {
    return Fail("illegal -N value: expected a name of 1 to 236 bytes");
  }
  Put(&list, "Job_Name", name);
  for (const std::string& one : o.resources) {
    if (!ReadResources(one, &list, &error)) return Fail(error);
  }
  if (o.account) Put(&list, "Account_Name", *o.account);
  if (o.priority) Put(&list, "Priority", std::to_string(*o.priority));
  if (o.rerun) {
    if (*o.rerun != "y" && *o.rerun != "n") return Fail("illegal -r value: expected y or n");
    Put(&list, "Rerunable", *o.rerun);
  }
  if (o.hold) Put(&list, "Hold_Types", "u");
  if (o.date) {
    std::uint64_t seconds = 0;
    if (!ReadDateTime(*o.date, &seconds, &error)) return Fail(error);
    Put(&list, "Execution_Time", std::to_string(seconds));
  }
  if (o.join && *o.join != "oe" && *o.join != "eo" && *o.join != "n") {
    return Fail("illegal -j value: expected oe, eo or n");
  }
  if (o.join && *o.join != "n") Put(&list, "Join_Path", *o.join);
  char cwd[4096] = "";
  if (getcwd(cwd, sizeof cwd) == nullptr) return Fail("the current directory cannot be told");
  const auto path = [&cwd](const std::optional<std::string>& stated) {
    // A path that ends in a slash gets the usual file name at the node.
    if (!stated) return pbs_client::HostName() + ":" + cwd + "/";
    const std::size_t colon = stated->find(':');
    const std::string host = colon == std::string::npos ? pbs_client::HostName() : stated->substr(0, colon);
    const std::string file = colon == std::string::npos ? *stated : stated->substr(colon + 1);
    return host + ":" + (!file.empty() && file[0] == '/' ? file : std::string(cwd) + "/" + file);
  };
  Put(&list, "Output_Path", path(o.output_path));
  Put(&list, "Error_Path", path(o.error_path));
  const std::string destination = o.destination.value_or("");
  const std::size_t at = destination.find('@');
  s.destination = destination.substr(0, at);
  Put(&list, "Variable_List", VariableList(o, s.destination));
  if (o.mail) Put(&list, "Mail_Points", *o.mail);
  if (o.mail_users) Put(&list, "Mail_Users", *o.mail_users);
  if (o.keep) Put(&list, "Keep_Files", *o.keep);
  if (o.checkpoint) Put(&list, "Checkpoint", *o.checkpoint);
  if (o.shell) Put(&list, "Shell_Path_List", *o.shell);
  for (const std::string& one : o.additional) {
    if (!ReadAdditional(one, &list, &error)) return Fail(error);
  }
  // Some of -W is for this command.
  std::string block;
  for (auto it = list.begin(); it != list.end();) {
    if (it->name == "block") {
      block = it->value;
      if (block != "true" && block != "false" && block != "answer") {
        return Fail("illegal -W value: block: expected true, false or answer");
      }
    } else if (it->name == "retries") {
      s.tries = 1 + static_cast<unsigned>(std::max(0, std::min(100, std::atoi(it->value.c_str()))));
    } else if (it->name == "answer_within") {
      s.answer_within = static_cast<Micros>(std::max(0.001, std::atof(it->value.c_str())) * 1e6);
    } else if (it->name == "key") {
      s.key = it->value;
    } else {
      ++it;
      continue;
    }
    it = list.erase(it);
  }
  if (s.tries > 1 && s.key.empty())
    return Fail("illegal -W value: retries: expected a key as well (-W key=...)");
  if (s.tries > 1) s.owner_time = 8'000'000;
  s.script = script;
  std::vector<std::string> daemons = Daemons();
  if (at != std::string::npos) daemons = {AddressOfServer(destination.substr(at + 1))};
  const pbs_client::SubmitResult result = pbs_client::Submit(daemons, s);
  if (!result.ok) {
    std::string text = result.error;
    if (result.code != pbs_protocol::Code::kNone && text != pbs_protocol::Describe(result.code)) {
      text = std::string(pbs_protocol::Describe(result.code)) + ": " + text;
    }
    return Fail(text);
  }
  if (!o.quiet) {
    std::printf("%s\n", result.id.c_str());
    std::fflush(stdout);
  }
  if (block.empty() || block == "false") return 0;
  return Block(result.id, result.server, block == "true");
}

}  // namespace mountflow::cli
