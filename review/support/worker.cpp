// The work of a job: says every 200 ms, in a line of the file, that it runs. Ends after the given seconds.
//
//   worker FILE NAME SECONDS
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace {

long long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const long long end = NowMs() + std::atoi(argv[3]) * 1000LL;
  while (NowMs() < end) {
    std::FILE* file = std::fopen(argv[1], "a");
    if (file == nullptr) return 2;
    std::fprintf(file, "%lld %s process %d works\n", NowMs(), argv[2], static_cast<int>(getpid()));
    std::fclose(file);
    usleep(200'000);
  }
  return 0;
}
