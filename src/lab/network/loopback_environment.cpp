#include "lab/network/loopback_environment.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// Returns a port that is currently free at this address. Each machine has its own address, so that no other
// machine of the run can take the port in the meantime.
std::uint16_t free_port(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  std::memcpy(&socket_address.sin_addr.s_addr, address.bytes.data(), 4);
  socklen_t size = sizeof socket_address;
  const bool ok = fd >= 0 &&
                  bind(fd, reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) == 0 &&
                  getsockname(fd, reinterpret_cast<sockaddr*>(&socket_address), &size) == 0;
  if (fd >= 0) ::close(fd);
  if (!ok) throw std::runtime_error("no free port at " + to_text(address));
  return ntohs(socket_address.sin_port);
}

}  // namespace

LoopbackEnvironment::LoopbackEnvironment(std::vector<std::string> program, std::string folder)
    : event_queue_(clock_.now()), program_(std::move(program)), folder_(std::move(folder)) {
  std::signal(SIGPIPE, SIG_IGN);
}

void LoopbackEnvironment::run_until(Micros end) {
  constexpr Micros kPollInterval = 2ms;  // longest delay of a scheduled event
  while (now() < end) {
    event_queue_.run_until(now());
    clock_.run_for(std::min(kPollInterval, std::max(end - now(), 0us)));
  }
  event_queue_.run_until(now());
}

MachineId LoopbackEnvironment::add_machine(ZoneId) {
  const std::size_t n = addresses_.size() + 1;
  const auto pid = static_cast<unsigned>(getpid());
  Address a;
  a.bytes = {127, static_cast<std::uint8_t>(64 + pid % 128),
             static_cast<std::uint8_t>((pid / 128 + n / 250) % 256), static_cast<std::uint8_t>(1 + n % 250)};
  a.port = free_port(a);
  addresses_.push_back(a);
  return {static_cast<std::uint32_t>(n - 1)};
}

net::Network& LoopbackEnvironment::start_process(MachineId) {
  return *networks_.emplace_back(std::make_unique<net::KernelNetwork>(clock_));
}

// The network object is kept until the environment ends, because the event loop may still refer to it.
void LoopbackEnvironment::end_process(net::Network& process) {
  for (const auto& n : networks_)
    if (n.get() == &process) n->shut_down();
}

std::string LoopbackEnvironment::config_file(NodeNo node) const {
  return folder_ + "/n" + std::to_string(node.value) + ".json";
}

void LoopbackEnvironment::write_config(NodeNo node, const std::string& config) const {
  std::ofstream out(config_file(node), std::ios::trunc);
  out << config;
  out.close();
  if (!out) throw std::runtime_error("cannot write " + config_file(node));
}

void LoopbackEnvironment::start_node(NodeNo node, MachineId, const std::string& config,
                                     const std::vector<MachineId>&) {
  write_config(node, config);
  const std::string log = config_file(node) + ".log", path = config_file(node);
  std::vector<std::string> arguments = program_;
  arguments.insert(arguments.end(), {"serve", "--config", path});
  nodes_[node.value] = std::make_unique<ChildProcess>(std::move(arguments), log);
}

void LoopbackEnvironment::kill_node(NodeNo node) { nodes_.erase(node.value); }

void LoopbackEnvironment::shut_down_node(NodeNo node) {
  if (running(node)) nodes_[node.value]->signal(SIGTERM);
}

void LoopbackEnvironment::reload_node(NodeNo node, const std::string& config) {
  if (!running(node)) return;
  write_config(node, config);
  nodes_[node.value]->signal(SIGHUP);
}

bool LoopbackEnvironment::running(NodeNo node) {
  const auto it = nodes_.find(node.value);
  return it != nodes_.end() && it->second->running();
}

}  // namespace flintweir::lab
