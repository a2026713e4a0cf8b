#include <iostream>

#include "adapter/drill.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  return mountflow::adapter::Serve(std::cin, std::cout, std::cerr);
}
