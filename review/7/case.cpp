// Open watches fall silent, a quarter of the hosts begin to drain, and discovery goes down for 8 s. What a silent watch
// misses counts as told 2 s after its wait is over. Rule: nothing new goes to those hosts later than the grace after that.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kHosts = 12, kDraining = 3;
constexpr double kGrace = 0.3, kSlack = 0.05;
constexpr double kSilence = 6, kAfterWait = 2;  // what a silent watch misses counts as told so long after
constexpr double kOutage = 8;
constexpr double kReachable = 2;  // discovery has the drains and takes calls for so long before it goes down

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  SettingsText settings;
  const char* const zones[] = {"bangkok", "chiang-mai", "hat-yai"};
  // One service; each node reaches it at an address of its own, so that its watch is known.
  std::vector<std::unique_ptr<Discovery>> services;
  for (int i = 0; i < 3; ++i) services.push_back(std::make_unique<Discovery>());
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<std::string, std::size_t> node_of;  // by the id of a client's connection
  std::vector<double> told_at(3, 1e9);
  int late = 0, before = 0;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i + 1), zones[i % 3], i % 3));
    Host* const host = hosts.back().get();
    host->start();
    host->load_of = [](const std::string&) { return "12000"; };
    host->answer = [&](Host& at, const std::string& id, const std::string&) -> std::optional<std::string> {
      if (at.state != "DRAINING") return "UP r-" + at.uid + "-" + id;
      const std::size_t node = node_of.at(id);
      if (now_s() > told_at[node] + kGrace + kSlack) {
        ++late;
        record("SENT by n%zu to draining host %s, %.3f s after it counts as told: %s", node + 1, at.uid.c_str(),
               now_s() - told_at[node], id.c_str());
      } else {
        ++before;
      }
      return "BUSY";
    };
    for (auto& service : services) service->hosts.push_back(host);
  }
  for (auto& service : services) service->start();
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Node*> all;
  for (int i = 0; i < 3; ++i) {
    nodes.push_back(std::make_unique<Node>("n" + std::to_string(i + 1)));
    nodes.back()->configure(services[static_cast<std::size_t>(i)]->port, services[0]->whole(), settings.text(), i);
    nodes.back()->start();
    all.push_back(nodes.back().get());
  }
  wait_ready(all);

  std::vector<Client::Ptr> clients;
  std::mt19937 random(std::random_device{}());
  int up = 0, refused = 0;
  std::function<void()> come = [&] {
    const auto client = std::make_shared<Client>();
    const std::size_t node = random() % nodes.size();
    client->id = Client::new_id();
    node_of[client->id] = node;
    client->on_change = [&](Client& c) {
      if (c.ended) return;
      ++(c.up ? up : refused);
      const std::weak_ptr<Client> weak = c.weak_from_this();
      loop.after(c.up ? 10 : 0.2, [weak] {
        if (const auto left = weak.lock()) left->leave();
      });
    };
    clients.push_back(client);
    client->start(nodes[node]->port);
    std::erase_if(clients, [](const Client::Ptr& c) { return c->ended; });
    loop.after(0.05, come);
  };
  come();
  loop.run_until(now_s() + 2);
  for (const auto& service : services)
    if (service->watches() != 1) cannot_run("a node has no watch");

  // The outage begins half a second before the first of the watches has waited for its time.
  double outage_at = 1e9;
  const double silent_at = now_s();
  for (std::size_t i = 0; i < 3; ++i) {
    const double wait_over = services[i]->watched_at + services[i]->watch_wait;
    outage_at = std::min(outage_at, wait_over - 0.5);
    told_at[i] = std::max(silent_at + kSilence, wait_over + kAfterWait);
    record("n%zu watches since %.3f for %.3f s: what it misses counts as told at %.3f", i + 1, services[i]->watched_at,
           services[i]->watch_wait, told_at[i]);
  }
  if (trouble) {
    record("open watches fall silent");
    for (auto& service : services) service->silence_watches();
  }
  loop.run_until(outage_at - kReachable);
  for (int h = 0; h < kDraining; ++h) {
    Host& host = *hosts[static_cast<std::size_t>(h * 4)];
    for (auto& service : services) service->set_state(host, "DRAINING");
    // A draining runner sends all its clients away at once.
    for (auto& [number, session] : host.sessions)
      if (session.up) {
        session.conn->send("MOVE\r\n");
        session.conn->shutdown_send();
      }
  }
  if (!trouble)
    for (double& told : told_at) told = now_s();  // written on the watches
  loop.run_until(outage_at);
  if (trouble) {
    record("discovery goes down");
    for (auto& service : services) service->stop();
  }
  loop.run_until(outage_at + kOutage);
  if (trouble) {
    record("discovery is back");
    for (auto& service : services) service->start();
  }
  loop.run_until(now_s() + 4);
  for (Node* node : all)
    if (!node->running()) cannot_run("a node has ended");
  char why[200];
  std::snprintf(why, sizeof why,
                "%d sent to draining hosts after that counted as told, %d before; of all clients %d were served, %d not", late,
                before, up, refused);
  return verdict(late > 0, why);
}
