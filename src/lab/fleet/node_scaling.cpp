#include "lab/fleet/node_scaling.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "lab/network/child_process.h"
#include "lab/reports/meter.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::string_view kLine = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";

Micros since(Clock::time_point t) { return std::chrono::duration_cast<Micros>(Clock::now() - t); }

sockaddr_in socket_address(const char* ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip, &address.sin_addr);
  return address;
}

int open_listener(const char* ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = socket_address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 4096) != 0)
    throw std::runtime_error(std::string("cannot listen on ") + ip + ": " + std::strerror(errno));
  return fd;
}

int open_connection(const char* ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error(std::string("cannot create a socket: ") + std::strerror(errno));
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const sockaddr_in address = socket_address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    throw std::runtime_error(std::string("cannot connect: ") + std::strerror(errno));
  }
  return fd;
}

bool send_text(int fd, std::string_view text) {
  return send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// The hosts' side of all sessions, on a thread of its own: accepts connections, answers first lines and
// probes, and writes to all open sessions on request.
class HostSide {
 public:
  explicit HostSide(int listener) : listener_(listener), epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    watch(listener_);
    thread_ = std::thread([this] { run(); });
  }
  ~HostSide() {
    stopping_ = true;
    thread_.join();
    for (const int fd : connections_) close(fd);
    close(epoll_);
    close(listener_);
  }
  std::size_t open_count() const { return open_count_.load(); }
  // Sends `rounds` lines to each open session. The delay of the lines is counted from the first write.
  void send_lines(unsigned rounds) {
    sent_ = false;
    requested_rounds_ = rounds;
  }
  bool all_sent() const { return sent_.load(); }
  Clock::time_point first_write() const { return first_write_; }

 private:
  void watch(int fd) {
    epoll_event e{EPOLLIN, {.fd = fd}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e);
  }
  void run() {
    std::vector<epoll_event> events(512);
    while (!stopping_) {
      const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 5);
      for (int i = 0; i < n; ++i) {
        const int fd = events[static_cast<std::size_t>(i)].data.fd;
        if (fd == listener_) {
          for (int next; (next = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            const int one = 1;
            setsockopt(next, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            connections_.push_back(next);
            watch(next);
          }
          continue;
        }
        char bytes[4096];
        const ssize_t got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got <= 0) {
          if (got < 0 && (errno == EAGAIN || errno == EINTR)) continue;
          epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
          std::erase(connections_, fd);
          if (std::erase(sessions_, fd)) --open_count_;
          close(fd);
          continue;
        }
        const std::string_view text(bytes, static_cast<std::size_t>(got));
        if (text.starts_with("STATS")) {
          send_text(fd, "PONG util=0.05,x0=0.05\r\n");
        } else if (text.starts_with("OPEN ")) {
          send_text(fd, "UP r\r\n");
          sessions_.push_back(fd);
          ++open_count_;
        }
      }
      if (const unsigned rounds = requested_rounds_.exchange(0)) {
        first_write_ = Clock::now();
        for (unsigned r = 0; r < rounds; ++r)
          for (const int fd : sessions_) send_text(fd, kLine);
        sent_ = true;
      }
    }
  }

  int listener_, epoll_;
  std::vector<int> connections_, sessions_;
  std::atomic<std::size_t> open_count_{0};
  std::atomic<unsigned> requested_rounds_{0};
  std::atomic<bool> sent_{false}, stopping_{false};
  Clock::time_point first_write_;
  std::thread thread_;
};

struct Usage {
  double cpu = 0;  // seconds
  double kib = 0;  // resident memory
};
Usage usage_of(pid_t pid) {
  Usage out;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat"),
      memory("/proc/" + std::to_string(pid) + "/statm");
  std::string word;
  double user = 0, system = 0;
  for (int i = 1; i <= 15 && stat >> word; ++i) {
    if (i == 14) user = std::stod(word);
    if (i == 15) system = std::stod(word);
  }
  out.cpu = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  double size = 0, resident = 0;
  memory >> size >> resident;
  out.kib = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
  return out;
}

// The clients' side of all sessions, on the calling thread.
class ClientSide {
 public:
  ClientSide() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}
  ~ClientSide() {
    for (const int fd : open_) close(fd);
    close(epoll_);
  }
  std::size_t size() const { return open_.size(); }
  // Opens `count` sessions, `concurrency` at a time, and adds the delay of each first answer to `delays`. A
  // first line is sent also if the connection leads to the host directly.
  void open(const char* ip, int port, unsigned count, unsigned concurrency, Histogram& delays,
            unsigned& refused) {
    struct Pending {
      int fd;
      Clock::time_point at;
    };
    std::vector<Pending> pending;
    unsigned started = 0;
    const auto deadline = Clock::now() + 60s;
    while ((started < count || !pending.empty()) && Clock::now() < deadline) {
      while (started < count && pending.size() < concurrency) {
        const int fd = open_connection(ip, port);
        char first_line[80];
        ++last_id_;
        std::snprintf(first_line, sizeof first_line, "OPEN %llx k%llx c=chat,d=3000\r\n",
                      static_cast<unsigned long long>(last_id_), static_cast<unsigned long long>(last_id_));
        const auto at = Clock::now();
        send_text(fd, first_line);
        pending.push_back({fd, at});
        ++started;
      }
      for (std::size_t i = 0; i < pending.size();) {
        char bytes[64];
        const ssize_t got = recv(pending[i].fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got < 0 && errno == EAGAIN) {
          ++i;
          continue;
        }
        delays.add(since(pending[i].at));
        if (got > 1 && bytes[0] == 'U') {
          epoll_event e{EPOLLIN, {.fd = pending[i].fd}};
          epoll_ctl(epoll_, EPOLL_CTL_ADD, pending[i].fd, &e);
          open_.push_back(pending[i].fd);
        } else {
          ++refused;
          close(pending[i].fd);
        }
        pending[i] = pending.back();
        pending.pop_back();
      }
    }
  }
  // Reads until `lines` lines have arrived or 30 s have passed, and adds the delay of each after the first
  // write. Returns the number of lines that arrived.
  std::size_t receive_lines(std::size_t lines, const HostSide& hosts, Histogram& delays) {
    std::vector<epoll_event> events(1024);
    std::size_t received = 0;
    const auto deadline = Clock::now() + 30s;
    while (received < lines && Clock::now() < deadline) {
      const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 10);
      for (int i = 0; i < n; ++i) {
        char bytes[16384];
        const ssize_t got =
            recv(events[static_cast<std::size_t>(i)].data.fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got <= 0) continue;
        const auto complete = static_cast<std::size_t>(std::count(bytes, bytes + got, '\n'));
        received += complete;
        const Micros delay = since(hosts.first_write());
        for (std::size_t k = 0; k < complete; ++k) delays.add(delay);
      }
    }
    return received;
  }

 private:
  int epoll_;
  std::vector<int> open_;
  std::uint64_t last_id_ = 0;
};

void set_ms(double (&out)[3], const Histogram& delays, double a, double b, double c) {
  const double quantiles[] = {a, b, c};
  for (std::size_t i = 0; i < 3; ++i) out[i] = seconds(delays.quantile(quantiles[i])) * 1e3;
}

std::string node_config(const char* host_ip, const char* ip) {
  std::string targets;
  for (int i = 0; i < 8; ++i)
    targets += std::string(i ? "," : "") + R"({"uid":"s-)" + std::to_string(i) + R"(","endpoint":")" +
               host_ip +
               R"(:9001","az":"a","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0})";
  return std::string(R"({"name":"n","listen":")") + ip +
         R"(:8081","discovery":"127.0.0.1:9","seed":"8c1f","limits":{"memory_mb":4096,"sockets":20000},"known":)" +
         R"({"rev":1,"all":true,"targets":[)" + targets +
         R"(]},"settings":{"balancers":1,"myZone":0,"failureDomains":["a"],"discovery":"on_request","listeners":)" +
         R"([{"name":"chat","handshakeTarget":1000000,"dialTimeout":3000000,"effect":"repeatable","group":"all"}],)" +
         R"("ceilings":{"maxDials":3,"probes":true,"connectTimeout":500000},"rules":{"askEvery":10000000,)" +
         R"("cold":7200000,"coldShare":0.3,"overloadFactor":3.0,"tipAfter":1500000},"prices":{"probe":0},)" +
         R"("reporting":{"fields":["util","x0"]}}})";
}

}  // namespace

std::vector<NodeScalingResult> measure_node_scaling(const std::vector<std::string>& program,
                                                    const std::vector<unsigned>& sizes,
                                                    const std::string& folder) {
  rlimit descriptor_limit;
  getrlimit(RLIMIT_NOFILE, &descriptor_limit);
  descriptor_limit.rlim_cur = descriptor_limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptor_limit);
  const unsigned block = 1 + static_cast<unsigned>(getpid()) % 250;
  const std::string host_ip = "127.21." + std::to_string(block) + ".1",
                    ip = "127.21." + std::to_string(block) + ".2";
  std::vector<NodeScalingResult> out;
  for (const unsigned size : sizes) {
    NodeScalingResult result;
    result.sessions = size;
    {  // baseline: the same connections without a node
      HostSide hosts(open_listener(host_ip.c_str(), 9001));
      ClientSide clients;
      Histogram delays, open_delays;
      unsigned refused = 0;
      clients.open(host_ip.c_str(), 9001, size, 100, open_delays, refused);
      for (int i = 0; i < 3; ++i) {
        hosts.send_lines(1);
        clients.receive_lines(clients.size(), hosts, delays);
      }
      set_ms(result.baseline_ms, delays, 0.5, 0.99, 0.999);
    }
    HostSide hosts(open_listener(host_ip.c_str(), 9001));
    const std::string file = folder + "/scale.json";
    std::ofstream(file, std::ios::trunc) << node_config(host_ip.c_str(), ip.c_str());
    std::vector<std::string> arguments = program;
    arguments.insert(arguments.end(), {"serve", "--config", file});
    ChildProcess node(arguments, folder + "/scale.log");
    for (int i = 0; i < 200; ++i) {
      std::this_thread::sleep_for(10ms);
      try {
        close(open_connection(ip.c_str(), 8081));
        break;
      } catch (const std::runtime_error&) {
      }
    }
    const Usage usage_empty = usage_of(node.pid());
    ClientSide clients;
    Histogram open_delays, delays, reconnect_delays;
    unsigned refused = 0;
    clients.open(ip.c_str(), 8081, size, 50, open_delays, refused);
    const Usage usage_full = usage_of(node.pid());
    result.memory_kib = usage_full.kib - usage_empty.kib;
    result.open_us = (usage_full.cpu - usage_empty.cpu) * 1e6 / size;
    result.refused = refused;
    std::this_thread::sleep_for(4s);  // until the limits on opening sessions no longer apply
    const auto idle_start = Clock::now();
    const double cpu_before = usage_of(node.pid()).cpu;
    std::this_thread::sleep_for(4s);
    result.idle_cpu = (usage_of(node.pid()).cpu - cpu_before) / seconds(since(idle_start));
    for (int i = 0; i < 3; ++i) {  // one line to each session at once, as when a topic publishes
      hosts.send_lines(1);
      clients.receive_lines(clients.size(), hosts, delays);
    }
    set_ms(result.line_ms, delays, 0.5, 0.99, 0.999);
    // Lines without a pause, for the cost of a line and the throughput of a core.
    const unsigned rounds = std::max(1u, 400'000 / size);
    const Usage before = usage_of(node.pid());
    const auto start = Clock::now();
    Histogram load_delays;
    hosts.send_lines(rounds);
    const std::size_t received = clients.receive_lines(clients.size() * rounds, hosts, load_delays);
    result.lines_per_second = static_cast<double>(received) / seconds(since(start));
    result.cpu_us_per_line = (usage_of(node.pid()).cpu - before.cpu) * 1e6 /
                             static_cast<double>(std::max<std::size_t>(received, 1));
    // A fifth as many sessions more, within the session limit, as fast as connections can be made: clients
    // that reconnect at once.
    const unsigned returning = std::min(size / 5, 9'500u - std::min(9'500u, size));
    if (returning > 0) {
      refused = 0;
      clients.open(ip.c_str(), 8081, returning, returning, reconnect_delays, refused);
      result.reconnected = returning;
      result.refused += refused;
      set_ms(result.reconnect_ms, reconnect_delays, 0.5, 0.99, 1);
    }
    out.push_back(result);
  }
  return out;
}

}  // namespace flintweir::lab
