// Entry points of the batch commands of POSIX.1 (Shell & Utilities, chapter 3). Each takes the arguments of a
// main function, with the command's name first, and returns the exit status, which is 0 on success. On
// failure, it writes a message to standard error.
#ifndef MOUNTFLOW_CLI_COMMANDS_HPP_
#define MOUNTFLOW_CLI_COMMANDS_HPP_

namespace mountflow::cli {

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

#endif  // MOUNTFLOW_CLI_COMMANDS_HPP_
