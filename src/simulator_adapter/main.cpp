// Runs schedulers for the simulator, which communicates over standard input and output.
#include <iostream>

#include "simulator_adapter/server.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  return mountflow::simulator_adapter::Serve(std::cin, std::cout, std::cerr);
}
