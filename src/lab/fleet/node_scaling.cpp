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
using Steady = std::chrono::steady_clock;

constexpr std::string_view kLine = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";

Micros since(Steady::time_point t) { return std::chrono::duration_cast<Micros>(Steady::now() - t); }

sockaddr_in place(const char* ip, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip, &at.sin_addr);
  return at;
}

int listening(const char* ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in at = place(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 4096) != 0)
    throw std::runtime_error(std::string("can't listen at ") + ip + ": " + std::strerror(errno));
  return fd;
}

int connected(const char* ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error(std::string("no descriptor: ") + std::strerror(errno));
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const sockaddr_in at = place(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    close(fd);
    throw std::runtime_error(std::string("can't connect: ") + std::strerror(errno));
  }
  return fd;
}

bool say(int fd, std::string_view text) {
  return send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// The host's side of all sessions, on a thread of its own: accepts, answers first lines and probes, and
// writes to all that are open when it is told to.
class Hosts {
 public:
  explicit Hosts(int door) : door_(door), poll_(epoll_create1(EPOLL_CLOEXEC)) {
    add(door_);
    thread_ = std::thread([this] { run(); });
  }
  ~Hosts() {
    ends_ = true;
    thread_.join();
    for (const int fd : all_) close(fd);
    close(poll_);
    close(door_);
  }
  std::size_t open() const { return open_.load(); }
  // To all that are open, one line each, for so many rounds. Each line begins when its write does.
  void speak(unsigned rounds) {
    spoken_ = false;
    rounds_ = rounds;
  }
  bool spoken() const { return spoken_.load(); }
  Steady::time_point began() const { return began_; }

 private:
  void add(int fd) {
    epoll_event e{EPOLLIN, {.fd = fd}};
    epoll_ctl(poll_, EPOLL_CTL_ADD, fd, &e);
  }
  void run() {
    std::vector<epoll_event> events(512);
    while (!ends_) {
      const int n = epoll_wait(poll_, events.data(), static_cast<int>(events.size()), 5);
      for (int i = 0; i < n; ++i) {
        const int fd = events[static_cast<std::size_t>(i)].data.fd;
        if (fd == door_) {
          for (int next; (next = accept4(door_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            const int one = 1;
            setsockopt(next, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            all_.push_back(next);
            add(next);
          }
          continue;
        }
        char bytes[4096];
        const ssize_t got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got <= 0) {
          if (got < 0 && (errno == EAGAIN || errno == EINTR)) continue;
          epoll_ctl(poll_, EPOLL_CTL_DEL, fd, nullptr);
          std::erase(all_, fd);
          if (std::erase(sessions_, fd)) --open_;
          close(fd);
          continue;
        }
        const std::string_view text(bytes, static_cast<std::size_t>(got));
        if (text.starts_with("STATS")) {
          say(fd, "PONG util=0.05,x0=0.05\r\n");
        } else if (text.starts_with("OPEN ")) {
          say(fd, "UP r\r\n");
          sessions_.push_back(fd);
          ++open_;
        }
      }
      if (const unsigned rounds = rounds_.exchange(0)) {
        began_ = Steady::now();
        for (unsigned r = 0; r < rounds; ++r)
          for (const int fd : sessions_) say(fd, kLine);
        spoken_ = true;
      }
    }
  }

  int door_, poll_;
  std::vector<int> all_, sessions_;
  std::atomic<std::size_t> open_{0};
  std::atomic<unsigned> rounds_{0};
  std::atomic<bool> spoken_{false}, ends_{false};
  Steady::time_point began_;
  std::thread thread_;
};

struct Use {
  double cpu = 0;  // seconds
  double kib = 0;
};
Use use_of(pid_t pid) {
  Use out;
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

// The clients' side, on this thread.
class Clients {
 public:
  Clients() : poll_(epoll_create1(EPOLL_CLOEXEC)) {}
  ~Clients() {
    for (const int fd : open_) close(fd);
    close(poll_);
  }
  std::size_t size() const { return open_.size(); }
  // Opens so many, so many at a time; each answer's time is kept. Without a node, a first line is said all
  // the same.
  void open(const char* ip, int port, unsigned count, unsigned at_once, Histogram& took, unsigned& refused) {
    struct Asked {
      int fd;
      Steady::time_point at;
    };
    std::vector<Asked> asked;
    unsigned begun = 0;
    const auto give_up = Steady::now() + 60s;
    while ((begun < count || !asked.empty()) && Steady::now() < give_up) {
      while (begun < count && asked.size() < at_once) {
        const int fd = connected(ip, port);
        char head[80];
        ++ids_;
        std::snprintf(head, sizeof head, "OPEN %llx k%llx c=chat,d=3000\r\n",
                      static_cast<unsigned long long>(ids_), static_cast<unsigned long long>(ids_));
        const auto at = Steady::now();
        say(fd, head);
        asked.push_back({fd, at});
        ++begun;
      }
      for (std::size_t i = 0; i < asked.size();) {
        char bytes[64];
        const ssize_t got = recv(asked[i].fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got < 0 && errno == EAGAIN) {
          ++i;
          continue;
        }
        took.add(since(asked[i].at));
        if (got > 1 && bytes[0] == 'U') {
          epoll_event e{EPOLLIN, {.fd = asked[i].fd}};
          epoll_ctl(poll_, EPOLL_CTL_ADD, asked[i].fd, &e);
          open_.push_back(asked[i].fd);
        } else {
          ++refused;
          close(asked[i].fd);
        }
        asked[i] = asked.back();
        asked.pop_back();
      }
    }
  }
  // Reads until so many lines have come; how long after the first write each did.
  std::size_t hear(std::size_t lines, const Hosts& hosts, Histogram& took) {
    std::vector<epoll_event> events(1024);
    std::size_t heard = 0;
    const auto give_up = Steady::now() + 30s;
    while (heard < lines && Steady::now() < give_up) {
      const int n = epoll_wait(poll_, events.data(), static_cast<int>(events.size()), 10);
      for (int i = 0; i < n; ++i) {
        char bytes[16384];
        const ssize_t got =
            recv(events[static_cast<std::size_t>(i)].data.fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got <= 0) continue;
        const auto whole = static_cast<std::size_t>(std::count(bytes, bytes + got, '\n'));
        heard += whole;
        const Micros late = since(hosts.began());
        for (std::size_t k = 0; k < whole; ++k) took.add(late);
      }
    }
    return heard;
  }

 private:
  int poll_;
  std::vector<int> open_;
  std::uint64_t ids_ = 0;
};

void set_ms(double (&out)[3], const Histogram& h, double a, double b, double c) {
  const double shares[] = {a, b, c};
  for (std::size_t i = 0; i < 3; ++i) out[i] = seconds(h.at(shares[i])) * 1e3;
}

std::string config(const char* host_ip, const char* ip) {
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
  rlimit limit;
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  const unsigned block = 1 + static_cast<unsigned>(getpid()) % 250;
  const std::string host_ip = "127.21." + std::to_string(block) + ".1",
                    ip = "127.21." + std::to_string(block) + ".2";
  std::vector<NodeScalingResult> out;
  for (const unsigned size : sizes) {
    NodeScalingResult one;
    one.sessions = size;
    {  // the floor: the same without a node
      Hosts hosts(listening(host_ip.c_str(), 9001));
      Clients clients;
      Histogram took, opened;
      unsigned refused = 0;
      clients.open(host_ip.c_str(), 9001, size, 100, opened, refused);
      for (int i = 0; i < 3; ++i) {
        hosts.speak(1);
        clients.hear(clients.size(), hosts, took);
      }
      set_ms(one.baseline_ms, took, 0.5, 0.99, 0.999);
    }
    Hosts hosts(listening(host_ip.c_str(), 9001));
    const std::string file = folder + "/scale.json";
    std::ofstream(file, std::ios::trunc) << config(host_ip.c_str(), ip.c_str());
    std::vector<std::string> words = program;
    words.insert(words.end(), {"serve", "--config", file});
    ChildProcess node(words, folder + "/scale.log");
    for (int i = 0; i < 200; ++i) {
      std::this_thread::sleep_for(10ms);
      try {
        close(connected(ip.c_str(), 8081));
        break;
      } catch (const std::runtime_error&) {
      }
    }
    const Use empty = use_of(node.pid());
    Clients clients;
    Histogram opened, took, returned;
    unsigned refused = 0;
    clients.open(ip.c_str(), 8081, size, 50, opened, refused);
    const Use full = use_of(node.pid());
    one.memory_kib = full.kib - empty.kib;
    one.open_us = (full.cpu - empty.cpu) * 1e6 / size;
    one.refused = refused;
    std::this_thread::sleep_for(4s);  // until the limits of opening have passed
    const auto rest = Steady::now();
    const double at_rest = use_of(node.pid()).cpu;
    std::this_thread::sleep_for(4s);
    one.idle_cpu = (use_of(node.pid()).cpu - at_rest) / seconds(since(rest));
    for (int i = 0; i < 3; ++i) {  // a topic speaks: a line to each at once
      hosts.speak(1);
      clients.hear(clients.size(), hosts, took);
    }
    set_ms(one.line_ms, took, 0.5, 0.99, 0.999);
    // Without a pause, for its cost and what a core bears.
    const unsigned rounds = std::max(1u, 400'000 / size);
    const Use before = use_of(node.pid());
    const auto began = Steady::now();
    Histogram busy;
    hosts.speak(rounds);
    const std::size_t heard = clients.hear(clients.size() * rounds, hosts, busy);
    one.lines_per_second = static_cast<double>(heard) / seconds(since(began));
    one.cpu_us_per_line =
        (use_of(node.pid()).cpu - before.cpu) * 1e6 / static_cast<double>(std::max<std::size_t>(heard, 1));
    // As many as a fifth come back in one moment, as fast as connections can be made.
    const unsigned back = std::min(size / 5, 9'500u - std::min(9'500u, size));
    if (back > 0) {
      refused = 0;
      clients.open(ip.c_str(), 8081, back, back, returned, refused);
      one.reconnected = back;
      one.refused += refused;
      set_ms(one.reconnect_ms, returned, 0.5, 0.99, 1);
    }
    out.push_back(one);
  }
  return out;
}

}  // namespace flintweir::lab
