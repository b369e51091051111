// Connects the balancer to a simulator: reads one batch of events from each line of standard input, and
// writes one reply to standard output. Blank lines are skipped.
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  flintweir::benchlink::WireAdapter adapter;
  std::string line;
  try {
    while (std::getline(std::cin, line)) {
      if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
      std::cout << adapter.process(line) << '\n' << std::flush;
    }
  } catch (const std::exception& e) {
    std::cerr << "flintweir_benchlink: " << e.what() << '\n';
    return 1;
  }
}
