#include <getopt.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "net/kernel_network.h"
#include "net/nowhere.h"
#include "node/node.h"

namespace {

constexpr const char* kVersion = FLINTWEIR_VERSION;

constexpr const char* kHelp =
    "usage: flintweir COMMAND [--config FILE]\n"
    "\n"
    "  serve      run a node until SIGTERM; SIGHUP reads the configuration again\n"
    "  check      read a configuration as serve would, and say whether it is right\n"
    "  version    print the version\n"
    "  help       print this\n"
    "\n"
    "  -c, --config FILE   the configuration; without it the file that EDGE_CONFIG names\n";

int wrong_use(const std::string& what) {
  std::fprintf(stderr, "flintweir: %s (see 'flintweir help')\n", what.c_str());
  return 2;
}

// The soft limit of descriptors is often far under what the configuration allows.
void raise_descriptor_limit() {
  rlimit limit;
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Guards against a reload that is asked for before the node can hear of it: that would end the program.
void hold_reloads(bool hold) {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &reload, nullptr);
}

flintweir::node::NodeFile node_file(const std::string& path) {
  const auto given = [](const char* variable) {
    const char* value = std::getenv(variable);
    return std::string(value ? value : "");
  };
  return flintweir::node::NodeFile(path, given("EDGE_LISTEN"), given("EDGE_DISCOVERY"));
}

int serve(const std::string& config) {
  std::signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  flintweir::net::KernelNetwork network;
  flintweir::node::Node node(network, node_file(config));
  node.serve();
  network.hear_signals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal != SIGHUP) return node.leave();
    node.reload([&] { return node_file(config); });
  });
  hold_reloads(false);  // one that came meanwhile is heard now
  network.run();
  return 0;
}

int check(const std::string& config) {
  flintweir::net::Nowhere nowhere;
  const flintweir::node::Node node(nowhere, node_file(config));
  std::printf("%s: ok\n", config.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  hold_reloads(true);
  const char* given = std::getenv("EDGE_CONFIG");
  std::string config = given ? given : "";
  const option options[] = {{"config", required_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {"version", no_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
  bool help = false, version = false;
  opterr = 0;
  for (int o; (o = getopt_long(argc, argv, "c:hv", options, nullptr)) != -1;) {
    if (o == 'c')
      config = optarg;
    else if (o == 'h')
      help = true;
    else if (o == 'v')
      version = true;
    else
      return wrong_use("unknown option or missing value: '" + std::string(argv[optind - 1]) + "'");
  }
  const std::string command = optind < argc ? argv[optind] : help ? "help" : version ? "version" : "";
  if (optind + 1 < argc) return wrong_use("too many words: '" + std::string(argv[optind + 1]) + "'");
  if (help || command == "help") return std::fputs(kHelp, stdout), 0;
  if (version || command == "version") return std::printf("flintweir %s\n", kVersion), 0;
  if (command.empty()) return wrong_use("no command");
  if (command != "serve" && command != "check") return wrong_use("unknown command '" + command + "'");
  if (config.empty()) return wrong_use("no configuration: name one with --config or EDGE_CONFIG");
  try {
    return command == "serve" ? serve(config) : check(config);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}
