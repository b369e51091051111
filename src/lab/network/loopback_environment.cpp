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

// A port that is free at this address just now. Each machine has an address of its own, so that nobody else
// of the run can take it.
std::uint16_t free_port(const Address& a) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  std::memcpy(&at.sin_addr.s_addr, a.bytes.data(), 4);
  socklen_t size = sizeof at;
  const bool ok = fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
                  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  if (fd >= 0) ::close(fd);
  if (!ok) throw std::runtime_error("no port is free at " + to_text(a));
  return ntohs(at.sin_port);
}

}  // namespace

LoopbackEnvironment::LoopbackEnvironment(std::vector<std::string> program, std::string folder)
    : event_queue_(clock_.now()), program_(std::move(program)), folder_(std::move(folder)) {
  std::signal(SIGPIPE, SIG_IGN);
}

void LoopbackEnvironment::run_until(Micros end) {
  constexpr Micros kTurn = 2ms;
  while (now() < end) {
    event_queue_.run_until(now());
    clock_.run_for(std::min(kTurn, std::max(end - now(), 0us)));
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

// It stays, so that what the event loop still holds for it finds it.
void LoopbackEnvironment::end_process(net::Network& process) {
  for (const auto& n : networks_)
    if (n.get() == &process) n->shut_down();
}

std::string LoopbackEnvironment::file(NodeNo node) const {
  return folder_ + "/n" + std::to_string(node.value) + ".json";
}

void LoopbackEnvironment::write(NodeNo node, const std::string& config) const {
  std::ofstream out(file(node), std::ios::trunc);
  out << config;
  out.close();
  if (!out) throw std::runtime_error("can't write " + file(node));
}

void LoopbackEnvironment::start_node(NodeNo node, MachineId, const std::string& config,
                                     const std::vector<MachineId>&) {
  write(node, config);
  const std::string log = file(node) + ".log", path = file(node);
  std::vector<std::string> words = program_;
  words.insert(words.end(), {"serve", "--config", path});
  nodes_[node.value] = std::make_unique<ChildProcess>(std::move(words), log);
}

void LoopbackEnvironment::kill_node(NodeNo node) { nodes_.erase(node.value); }

void LoopbackEnvironment::shut_down_node(NodeNo node) {
  if (running(node)) nodes_[node.value]->signal(SIGTERM);
}

void LoopbackEnvironment::reload_node(NodeNo node, const std::string& config) {
  if (!running(node)) return;
  write(node, config);
  nodes_[node.value]->signal(SIGHUP);
}

bool LoopbackEnvironment::running(NodeNo node) {
  const auto it = nodes_.find(node.value);
  return it != nodes_.end() && it->second->running();
}

}  // namespace flintweir::lab
