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
    "  serve      run a node until SIGTERM; SIGHUP reads its files again\n"
    "  check      read the files given as serve would, and say all that is wrong\n"
    "  members    ask the node at --at ADDRESS (its fleet.address) for its view of the fleet\n"
    "  change     put FILE: gives the fleet a change of configuration; show: which node has which\n"
    "  lease      hold NAME -- COMMAND: run it while holding the lease; list, show NAME: who holds what\n"
    "  version    print the version\n"
    "  help       print this\n"
    "\n"
    "  -c, --config FILE     the configuration; without it the file that EDGE_CONFIG names\n"
    "  -o, --operator FILE   the operator's file; without it the one that EDGE_OPERATOR names, if any\n"
    "\n"
    "  members: --json prints one object, --watch goes on each second; ends with 3 where nobody answers\n";

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

std::string given(const char* variable) {
  const char* value = std::getenv(variable);
  return value ? value : "";
}

std::unique_ptr<flintweir::node::NodeConfig> node_file(const std::string& path) {
  return std::make_unique<flintweir::node::NodeConfig>(path, given("EDGE_LISTEN"), given("EDGE_DISCOVERY"));
}

flintweir::setup::OperatorFile operator_file(const std::string& path) {
  return path.empty() ? flintweir::setup::OperatorFile()
                      : flintweir::setup::OperatorFile::load_or_throw(path);
}

// As the files say; the node serves nobody yet.
void set_up(flintweir::node::Node& node, const flintweir::node::NodeConfig& file,
            const flintweir::setup::OperatorFile& own) {
  if (!own.fleet) return;
  const std::string name = given("EDGE_NAME");
  node.join_fleet(own, name.empty() ? file.name() : name, kVersion, file.seed());
}

int serve(const std::string& config, const std::string& own) {
  std::signal(SIGPIPE, SIG_IGN);
  raise_descriptor_limit();
  flintweir::net::KernelNetwork network;
  const auto file = node_file(config);
  flintweir::node::Node node(network, *file);
  set_up(node, *file, operator_file(own));
  // Before anybody can be taken: a signal that came in between would end the program with its clients.
  network.handle_signals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal != SIGHUP) return node.shut_down();
    node.reload([&] { return std::pair(node_file(config), operator_file(own)); });
  });
  node.serve();
  hold_reloads(false);  // one that came meanwhile is heard now
  network.run();
  return 0;
}

int check(const std::string& config, const std::string& own) {
  std::vector<std::string> wrong;
  const auto operators =
      own.empty() ? flintweir::setup::OperatorFile() : flintweir::setup::OperatorFile::load(own, wrong);
  for (const std::string& line : wrong) std::fprintf(stderr, "flintweir: %s\n", line.c_str());
  if (!config.empty()) {
    flintweir::net::NullNetwork null_network;
    const auto file = node_file(config);
    flintweir::node::Node node(null_network, *file);
    if (wrong.empty()) set_up(node, *file, operators);
    std::printf("%s: ok\n", config.c_str());
  }
  if (!own.empty() && wrong.empty()) std::printf("%s: ok\n", own.c_str());
  return wrong.empty() ? 0 : 1;
}

int members(const std::string& at, bool json, bool watch) {
  const auto address = flintweir::parse_address(at);
  if (!address) return wrong_use("--at has to be an address with a port, as in fleet.address");
  flintweir::ViewClient client(*address);
  for (;;) {
    const auto* const view = client.ask();
    const bool answered = view != nullptr;
    if (view) std::fputs((json ? to_json(*view) : to_table(*view)).c_str(), stdout);
    std::fflush(stdout);
    if (!answered) std::fprintf(stderr, "flintweir: nobody answers at %s\n", at.c_str());
    if (!watch) return answered ? 0 : 3;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

// lease hold NAME -- COMMAND..., lease list, lease show NAME.
int lease(const std::vector<std::string>& words, const std::string& own, const std::string& from,
          const std::string& told, bool json) {
  const std::string what = words.size() > 1 ? words[1] : "", name = words.size() > 2 ? words[2] : "";
  if (what != "hold" && what != "list" && what != "show")
    return wrong_use("lease takes 'hold NAME -- COMMAND', 'list' or 'show NAME'");
  if ((what == "hold" && words.size() < 4) || (what == "show" && words.size() != 3) ||
      (what == "list" && words.size() != 2))
    return wrong_use("lease " + what + ": wrong number of words");
  if (name.size() > flintweir::leases::kMaxLeaseNameBytes || !flintweir::is_printable_token(name))
    return wrong_use("lease: a name has at most 64 printable characters without blanks and quotes");
  for (const std::string& a : {from, told})
    if (!a.empty() && !flintweir::parse_address(a)) return wrong_use("'" + a + "' is no address with a port");
  if (own.empty()) return wrong_use("no operator's file: name one with --operator or EDGE_OPERATOR");
  try {
    const auto file = operator_file(own);
    if (!file.leases) return wrong_use(own + " has no section [leases]");
    if (what != "hold") return flintweir::lease_list(file, name, json);
    hold_reloads(false);
    return flintweir::lease_hold(file, name, from, told, {words.begin() + 3, words.end()});
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}

// change put FILE, under a lease, whose token is its number; change show --at ADDRESS.
int change(const std::vector<std::string>& words, const std::string& own, const std::string& at, bool json) {
  const std::string what = words.size() > 1 ? words[1] : "";
  if ((what != "put" || words.size() != 3) && (what != "show" || words.size() != 2))
    return wrong_use("change takes 'put FILE' or 'show'");
  const auto address = flintweir::parse_address(at);
  if (!at.empty() && !address) return wrong_use("--at has to be an address with a port, as in fleet.address");
  if (what == "show" && !address) return wrong_use("no node to ask: name one with --at");
  try {
    if (what == "show") return flintweir::change_show(*address, json);
    const std::string token = given("FLINTWEIR_TOKEN");
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(token.data(), token.data() + token.size(), number);
    if (token.empty() || ec != std::errc{} || end != token.data() + token.size() || number == 0)
      return wrong_use(
          "change put gets its number from the lease it runs under: flintweir lease hold changes -- "
          "flintweir change put FILE");
    if (own.empty()) return wrong_use("no operator's file: name one with --operator or EDGE_OPERATOR");
    const auto file = operator_file(own);
    if (!file.fleet || !file.changes) return wrong_use(own + " has no section [changes]");
    return flintweir::change_put(file, words[2], number, address.value_or(file.fleet->address));
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  hold_reloads(true);
  std::string config = given("EDGE_CONFIG"), own = given("EDGE_OPERATOR"), at;
  bool json = false, watch = false;
  std::string from, told;
  const option options[] = {
      {"from", required_argument, nullptr, 'f'},   {"told", required_argument, nullptr, 't'},
      {"config", required_argument, nullptr, 'c'}, {"operator", required_argument, nullptr, 'o'},
      {"at", required_argument, nullptr, 'a'},     {"json", no_argument, nullptr, 'j'},
      {"watch", no_argument, nullptr, 'w'},        {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},      {nullptr, 0, nullptr, 0}};
  bool help = false, version = false;
  opterr = 0;
  for (int o; (o = getopt_long(argc, argv, "c:o:hv", options, nullptr)) != -1;) {
    if (o == 'c')
      config = optarg;
    else if (o == 'o')
      own = optarg;
    else if (o == 'a')
      at = optarg;
    else if (o == 'f')
      from = optarg;
    else if (o == 't')
      told = optarg;
    else if (o == 'j')
      json = true;
    else if (o == 'w')
      watch = true;
    else if (o == 'h')
      help = true;
    else if (o == 'v')
      version = true;
    else
      return wrong_use("unknown option or missing value: '" + std::string(argv[optind - 1]) + "'");
  }
  const std::string command = optind < argc ? argv[optind] : help ? "help" : version ? "version" : "";
  const std::vector<std::string> words(argv + std::min(optind, argc), argv + argc);
  if (command == "change") return change(words, own, at, json);
  if (command == "lease") return lease(words, own, from, told, json);
  if (optind + 1 < argc) return wrong_use("too many words: '" + std::string(argv[optind + 1]) + "'");
  if (help || command == "help") return std::fputs(kHelp, stdout), 0;
  if (version || command == "version") return std::printf("flintweir %s\n", kVersion), 0;
  if (command.empty()) return wrong_use("no command");
  if (command == "members" && at.empty()) return wrong_use("no node to ask: name one with --at");
  if (command != "members" && command != "serve" && command != "check")
    return wrong_use("unknown command '" + command + "'");
  if (config.empty() && (command == "serve" || (command == "check" && own.empty())))
    return wrong_use("no configuration: name one with --config or EDGE_CONFIG");
  try {
    if (command == "members") return members(at, json, watch);
    return command == "serve" ? serve(config, own) : check(config, own);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir: %s\n", e.what());
    return 1;
  }
}
