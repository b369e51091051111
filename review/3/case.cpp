// Where lists are pushed: a node is killed, a host begins to drain, discovery goes down so that the agents fall silent,
// and the node is started again with the list that it last had. Its agent has known of the drain all the time, so that
// nothing new may go to the host from the first moment of the new process on.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kHosts = 6;
constexpr double kGraceMs = 100, kSlackMs = 50;  // rules.drainGrace below, and the sockets' slack
constexpr double kOutageMs = 8000;

const std::string kSettings = R"({
  "balancers": 2, "myNumber": 0, "myZone": 0, "failureDomains": ["a"], "discovery": "pushed",
  "listeners": [
    {"name": "price-feed", "handshakeTarget": 500000, "dialTimeout": 3000000, "effect": "repeatable", "group": "all",
     "dedupWindow": 5000000, "utility": 3.0, "stream": true}],
  "ceilings": {"maxDials": 5, "connectTimeout": 120000, "probes": true, "retryAfter": true, "maxRetryAfter": 1500000,
               "secondCopies": false},
  "rules": {"askEvery": 10000000, "cold": 20000000, "coldShare": 0.13, "drainGrace": 100000, "graceToAnswer": 20000,
            "overloadFactor": 2.0, "tipAfter": 1000000, "extraFloor": 2, "extraPerRequest": 0.15, "budgetSpan": 2000000},
  "weightSource": "live", "prices": {"probe": 0.002}, "reporting": {"fields": ["eps", "queue", "x0"], "how": "on_probe"}})";

std::vector<std::unique_ptr<Session>> sessions;
std::vector<std::thread> clients;

void clients_until(const Node& node, double until) {
  while (now_ms() < until) {
    sessions.push_back(std::make_unique<Session>());
    Session& s = *sessions.back();
    char id[24];
    std::snprintf(id, sizeof id, "9b1f03aa%08zx", sessions.size());
    s.id = id;
    clients.emplace_back([&s, &node] { run_client(node.port(), s, "price-feed", 3000, 30000); });
    sleep_ms(100);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  Record::get().open(argv[1]);
  std::vector<std::unique_ptr<Host>> hosts;
  std::string serving, draining;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i)));
    serving += (i ? "," : "") + target(*hosts.back(), "SERVING");
    draining += (i ? "," : "") + target(*hosts.back(), i == 0 ? "DRAINING" : "SERVING");
  }
  Host& drained = *hosts[0];
  // Each node has an agent of its own beside it, which goes on when the node is killed.
  Discovery agent1("agent of n1"), agent2("agent of n2");
  for (Discovery* agent : {&agent1, &agent2}) agent->set_list(41, whole_list(41, serving));
  Node n1("n1", agent1.port(), kSettings, whole_list(41, serving));
  Node n2("n2", agent2.port(), kSettings, whole_list(41, serving));
  n1.start();
  n2.start();
  n1.wait_ready();
  n2.wait_ready();
  clients_until(n1, now_ms() + 1000);
  clients_until(n2, now_ms() + 1000);

  n1.kill_now();
  for (Discovery* agent : {&agent1, &agent2}) agent->set_list(42, whole_list(42, draining));
  drained.drains = true;
  const double draining_at = now_ms();
  RECORD("host %s: drains; all agents have it", drained.name().c_str());
  sleep_ms(500);
  const double down_at = now_ms();
  if (trouble()) {
    agent1.silent = agent2.silent = true;
    RECORD("discovery: is down, the agents are silent");
  }
  n1.start();
  const double started_at = n1.started_at();
  n1.wait_ready();
  clients_until(n2, now_ms() + 500);
  clients_until(n1, down_at + kOutageMs - 500);
  sleep_until_ms(down_at + kOutageMs);
  agent1.silent = agent2.silent = false;
  RECORD("discovery: is back");
  clients_until(n1, now_ms() + 1000);
  sleep_ms(1000);
  case_is_over = true;
  for (std::thread& t : clients) t.join();

  int before = 0, broken = 0, served = 0;
  for (const auto& taken : drained.taken()) {
    if (taken.at <= draining_at) {
      ++before;
    } else if (taken.at > draining_at + kGraceMs + kSlackMs && taken.at > started_at + kGraceMs + kSlackMs) {
      ++broken;
      RECORD("DRAIN: host %s was sent session %s, %.0f ms after the start of the new process, whose agent had it as "
             "DRAINING", drained.name().c_str(), taken.id.c_str(), taken.at - started_at);
    }
  }
  for (const auto& s : sessions) served += s->up;
  RECORD("sessions %zu, accepted %d; sent to host %s before it drained %d, later than allowed %d", sessions.size(),
         served, drained.name().c_str(), before, broken);
  if (before == 0 || served < 20) cannot_run("too few sessions were accepted");
  std::printf("sessions %zu, accepted %d, sent to the draining host later than allowed %d\n", sessions.size(), served,
              broken);
  std::fflush(nullptr);
  n1.kill_now();
  n2.kill_now();
  _exit(broken > 0 ? 1 : 0);
}
