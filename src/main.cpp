#include <getopt.h>
#include <sys/resource.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "change_command.h"
#include "lease_command.h"
#include "net/kernel_network.h"
#include "net/null_network.h"
#include "node/node.h"
#include "printable_token.h"
#include "view_client.h"

namespace {

constexpr const char* kVersion = FLINTWEIR_VERSION;

constexpr const char* kHelp =
    "usage: flintweir COMMAND [--config FILE] [--operator FILE]\n"
    "\n"
    "  serve      run a node until SIGTERM; SIGHUP reloads its files\n"
    "  check      validate the files as serve would, and report all errors\n"
    "  members    print the view of the fleet that the node at --at ADDRESS (its fleet.address) has\n"
    "  change     put FILE: publish a configuration change; show: print each node's change in force\n"
    "  lease      hold NAME -- COMMAND: run it while holding the lease; list, show NAME: print holders\n"
    "  version    print the version\n"
    "  help       print this\n"
    "\n"
    "  -c, --config FILE     the configuration; default: the file that EDGE_CONFIG names\n"
    "  -o, --operator FILE   the operator's file; default: the one that EDGE_OPERATOR names, if any\n"
    "\n"
    "  members: --json prints one JSON object, --watch repeats each second; exit status 3: no response\n";

int usage_error(const std::string& message) {
  std::fprintf(stderr, "flintweir: %s (see 'flintweir help')\n", message.c_str());
  return 2;
}

// Raises the soft limit of descriptors, which is often far below what the configuration allows.
void raise_descriptor_limit() {
  rlimit limit;
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Blocks or unblocks SIGHUP. Until its handler is installed, a SIGHUP would terminate the process.
void block_sighup(bool block) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigprocmask(block ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

// The value of an environment variable; empty if it is not set.
std::string environment(const char* variable) {
  const char* value = std::getenv(variable);
  return value ? value : "";
}

std::unique_ptr<flintweir::node::NodeConfig> load_node_config(const std::string& path) {
  return std::make_unique<flintweir::node::NodeConfig>(path, environment("EDGE_LISTEN"),
                                                       environment("EDGE_DISCOVERY"));
}

flintweir::setup::OperatorFile load_operator_file(const std::string& path) {
  return path.empty() ? flintweir::setup::OperatorFile()
                      : flintweir::setup::OperatorFile::load_or_throw(path);
}

// Makes the node a member of the fleet that the operator's file names, if any.
void join_fleet(flintweir::node::Node& node, const flintweir::node::NodeConfig& config,
                const flintweir::setup::OperatorFile& operator_file) {
  if (!operator_file.fleet) return;
  const std::string name = environment("EDGE_NAME");
  node.join_fleet(operator_file, name.empty() ? config.name() : name, kVersion, config.seed());
}

int serve(const std::string& config_path, const std::string& operator_path) {
  std::signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  flintweir::net::KernelNetwork network;
  const auto config = load_node_config(config_path);
  flintweir::node::Node node(network, *config);
  join_fleet(node, *config, load_operator_file(operator_path));
  // Installs the handlers before the first client is accepted. Otherwise a signal could terminate the process
  // and break its clients' connections.
  network.handle_signals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal != SIGHUP) return node.shut_down();
    node.reload([&] { return std::pair(load_node_config(config_path), load_operator_file(operator_path)); });
  });
  node.serve();
  block_sighup(false);  // a SIGHUP that arrived meanwhile is handled now
  network.run();
  return 0;
}

int check(const std::string& config_path, const std::string& operator_path) {
  std::vector<std::string> errors;
  const auto operator_file = operator_path.empty()
                                 ? flintweir::setup::OperatorFile()
                                 : flintweir::setup::OperatorFile::load(operator_path, errors);
  for (const std::string& error : errors) std::fprintf(stderr, "flintweir: %s\n", error.c_str());
  if (!config_path.empty()) {
    flintweir::net::NullNetwork null_network;
    const auto config = load_node_config(config_path);
    flintweir::node::Node node(null_network, *config);
    if (errors.empty()) join_fleet(node, *config, operator_file);
    std::printf("%s: ok\n", config_path.c_str());
  }
  if (!operator_path.empty() && errors.empty()) std::printf("%s: ok\n", operator_path.c_str());
  return errors.empty() ? 0 : 1;
}

int members(const std::string& at, bool json, bool watch) {
  const auto address = flintweir::parse_address(at);
  if (!address) return usage_error("--at has to be an address with a port, as in fleet.address");
  flintweir::ViewClient client(*address);
  for (;;) {
    const auto* const view = client.query();
    const bool responded = view != nullptr;
    if (view) std::fputs((json ? to_json(*view) : to_table(*view)).c_str(), stdout);
    std::fflush(stdout);
    if (!responded) std::fprintf(stderr, "flintweir: no response from %s\n", at.c_str());
    if (!watch) return responded ? 0 : 3;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

// The commands `lease hold NAME -- COMMAND...`, `lease list` and `lease show NAME`.
int lease(const std::vector<std::string>& arguments, const std::string& operator_path,
          const std::string& from, const std::string& advertised, bool json) {
  const std::string action = arguments.size() > 1 ? arguments[1] : "",
                    name = arguments.size() > 2 ? arguments[2] : "";
  if (action != "hold" && action != "list" && action != "show")
    return usage_error("lease takes 'hold NAME -- COMMAND', 'list' or 'show NAME'");
  if ((action == "hold" && arguments.size() < 4) || (action == "show" && arguments.size() != 3) ||
      (action == "list" && arguments.size() != 2))
    return usage_error("lease " + action + ": wrong number of arguments");
  if (name.size() > flintweir::leases::kMaxLeaseNameBytes || !flintweir::is_printable_token(name))
    return usage_error(
        "lease: a name has at most 64 printable ASCII characters without spaces, quotes and backslashes");
  for (const std::string& address : {from, advertised})
    if (!address.empty() && !flintweir::parse_address(address))
      return usage_error("'" + address + "' is not a numeric IP address with a port");
  if (operator_path.empty()) return usage_error("no operator's file: set --operator or EDGE_OPERATOR");
  try {
    const auto operator_file = load_operator_file(operator_path);
    if (!operator_file.leases) return usage_error(operator_path + " has no section [leases]");
    if (action != "hold") return flintweir::lease_list(operator_file, name, json);
    block_sighup(false);
    return flintweir::lease_hold(operator_file, name, from, advertised,
                                 {arguments.begin() + 3, arguments.end()});
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}

// The commands `change put FILE`, which runs under a lease whose token becomes the number of the change, and
// `change show --at ADDRESS`.
int change(const std::vector<std::string>& arguments, const std::string& operator_path, const std::string& at,
           bool json) {
  const std::string action = arguments.size() > 1 ? arguments[1] : "";
  if ((action != "put" || arguments.size() != 3) && (action != "show" || arguments.size() != 2))
    return usage_error("change takes 'put FILE' or 'show'");
  const auto address = flintweir::parse_address(at);
  if (!at.empty() && !address)
    return usage_error("--at has to be an address with a port, as in fleet.address");
  if (action == "show" && !address) return usage_error("no node: set --at");
  try {
    if (action == "show") return flintweir::change_show(*address, json);
    const std::string token = environment("FLINTWEIR_TOKEN");
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(token.data(), token.data() + token.size(), number);
    if (token.empty() || ec != std::errc{} || end != token.data() + token.size() || number == 0)
      return usage_error(
          "change put takes its number from the lease under which it runs: flintweir lease hold changes -- "
          "flintweir change put FILE");
    if (operator_path.empty()) return usage_error("no operator's file: set --operator or EDGE_OPERATOR");
    const auto operator_file = load_operator_file(operator_path);
    if (!operator_file.fleet || !operator_file.changes)
      return usage_error(operator_path + " has no section [changes]");
    return flintweir::change_put(operator_file, arguments[2], number,
                                 address.value_or(operator_file.fleet->address));
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  block_sighup(true);
  std::string config_path = environment("EDGE_CONFIG"), operator_path = environment("EDGE_OPERATOR"), at;
  bool json = false, watch = false;
  std::string from, advertised;
  const option options[] = {
      {"from", required_argument, nullptr, 'f'},   {"told", required_argument, nullptr, 't'},
      {"config", required_argument, nullptr, 'c'}, {"operator", required_argument, nullptr, 'o'},
      {"at", required_argument, nullptr, 'a'},     {"json", no_argument, nullptr, 'j'},
      {"watch", no_argument, nullptr, 'w'},        {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},      {nullptr, 0, nullptr, 0}};
  bool help = false, version = false;
  opterr = 0;
  for (int option_char; (option_char = getopt_long(argc, argv, "c:o:hv", options, nullptr)) != -1;) {
    if (option_char == 'c')
      config_path = optarg;
    else if (option_char == 'o')
      operator_path = optarg;
    else if (option_char == 'a')
      at = optarg;
    else if (option_char == 'f')
      from = optarg;
    else if (option_char == 't')
      advertised = optarg;
    else if (option_char == 'j')
      json = true;
    else if (option_char == 'w')
      watch = true;
    else if (option_char == 'h')
      help = true;
    else if (option_char == 'v')
      version = true;
    else
      return usage_error("unknown option or missing value: '" + std::string(argv[optind - 1]) + "'");
  }
  const std::string command = optind < argc ? argv[optind] : help ? "help" : version ? "version" : "";
  const std::vector<std::string> arguments(argv + std::min(optind, argc), argv + argc);
  if (command == "change") return change(arguments, operator_path, at, json);
  if (command == "lease") return lease(arguments, operator_path, from, advertised, json);
  if (optind + 1 < argc) return usage_error("too many arguments: '" + std::string(argv[optind + 1]) + "'");
  if (help || command == "help") return std::fputs(kHelp, stdout), 0;
  if (version || command == "version") return std::printf("flintweir %s\n", kVersion), 0;
  if (command.empty()) return usage_error("no command");
  if (command == "members" && at.empty()) return usage_error("no node: set --at");
  if (command != "members" && command != "serve" && command != "check")
    return usage_error("unknown command '" + command + "'");
  if (config_path.empty() && (command == "serve" || (command == "check" && operator_path.empty())))
    return usage_error("no configuration: set --config or EDGE_CONFIG");
  try {
    if (command == "members") return members(at, json, watch);
    return command == "serve" ? serve(config_path, operator_path) : check(config_path, operator_path);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}
