// Stand-ins for clients, hosts and discovery, as kit/real/PROTOCOL.md describes them, on loopback sockets and the real
// clock, and the start of nodes as separate processes by the deploy file's run line. One thread, one poll loop.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---- the record ----
inline std::FILE* record_file = nullptr;
inline void record(const char* format, ...) {
  if (!record_file) return;
  std::fprintf(record_file, "%9.3f ", now_s());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_file, format, args);
  va_end(args);
  std::fputc('\n', record_file);
}

// Exit 2: the case couldn't run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  record("CANNOT RUN: %s", why.c_str());
  if (record_file) std::fflush(record_file);
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

inline volatile sig_atomic_t interrupted = 0;  // the signal that asked this program to end

// ---- the loop ----
class Loop {
 public:
  using FdHandler = std::function<void(short)>;
  void watch(int fd, short events, FdHandler handler) { fds_[fd] = {events, std::move(handler)}; }
  void events(int fd, short events) {
    if (auto it = fds_.find(fd); it != fds_.end()) it->second.first = events;
  }
  void unwatch(int fd) { fds_.erase(fd); }
  void after(double seconds, std::function<void()> f) { timers_.emplace(now_s() + seconds, std::move(f)); }
  void run_until(double at) {
    while (now_s() < at && !stopped_) step(at);
  }
  void stop() { stopped_ = true; }

 private:
  void step(double at) {
    if (interrupted) cannot_run("ended by signal " + std::to_string(static_cast<int>(interrupted)));
    double next = at;
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    std::vector<pollfd> polled;
    for (const auto& [fd, entry] : fds_) polled.push_back({fd, entry.first, 0});
    const int wait = std::max(0, static_cast<int>((next - now_s()) * 1000 + 0.999));
    if (poll(polled.data(), polled.size(), wait) > 0)
      for (const pollfd& p : polled) {
        if (!p.revents) continue;
        const auto it = fds_.find(p.fd);
        if (it == fds_.end()) continue;
        const FdHandler handler = it->second.second;  // it may unwatch itself
        handler(p.revents);
      }
    while (!timers_.empty() && timers_.begin()->first <= now_s()) {
      const auto f = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      f();
    }
  }
  std::map<int, std::pair<short, FdHandler>> fds_;
  std::multimap<double, std::function<void()>> timers_;
  bool stopped_ = false;
};
inline Loop loop;

// ---- sockets ----
inline void nonblocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}
inline sockaddr_in loopback(int port, const char* ip = "127.0.0.1") {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip, &at.sin_addr);
  return at;
}
inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
// Port 0: any free one.
inline int listen_on(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in at = loopback(port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 1024) != 0) {
    if (fd >= 0) close(fd);
    return -1;
  }
  nonblocking(fd);
  return fd;
}
// A port that is free now, below the range from which the kernel takes ports for outgoing connections, so that a
// process that is started again finds it free.
inline int free_port(int type = SOCK_STREAM) {
  static std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 400; ++i) {
    const int port = 12000 + static_cast<int>(random() % 18000);
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    const bool ok = fd >= 0 && bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    if (fd >= 0) close(fd);
    if (ok) return port;
  }
  cannot_run("no free port");
}

// One TCP connection; its owner is told of whole lines and of the end.
class Conn : public std::enable_shared_from_this<Conn> {
 public:
  using Ptr = std::shared_ptr<Conn>;
  std::function<void(std::string)> on_line;          // without the line end
  std::function<void(bool reset)> on_end;            // the peer ended or reset it; once
  std::function<void(bool ok)> on_connected;
  static Ptr adopt(int fd) {
    auto c = std::make_shared<Conn>();
    c->take(fd, POLLIN);
    return c;
  }
  static Ptr connect(int port) {
    auto c = std::make_shared<Conn>();
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return c;
    nonblocking(fd);
    const sockaddr_in at = loopback(port);
    const int r = ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    if (r != 0 && errno != EINPROGRESS) {
      ::close(fd);
      return c;
    }
    c->connecting_ = true;
    c->take(fd, POLLOUT);
    return c;
  }
  ~Conn() { close(); }
  bool is_open() const { return fd_ >= 0; }
  void send(const std::string& text) {
    if (fd_ < 0) return;
    out_ += text;
    if (!connecting_) flush();
  }
  void close(bool reset = false) {
    if (fd_ < 0) return;
    if (reset) {
      const linger now{1, 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    loop.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void shutdown_send() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_WR);
  }
  std::size_t unsent() const { return out_.size(); }
  std::string& input() { return in_; }
  bool raw = false;  // on_line is given bytes as they come

 private:
  void take(int fd, short events) {
    fd_ = fd;
    nonblocking(fd);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    loop.watch(fd, events, [this](short e) {
      const Ptr keep = weak_from_this().lock();
      ready(e);
    });
  }
  void ready(short events) {
    if (connecting_) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      connecting_ = false;
      if (error) {
        close();
        if (on_connected) on_connected(false);
        if (on_end) on_end(true);
        return;
      }
      loop.events(fd_, POLLIN);
      if (on_connected) on_connected(true);
      flush();
      return;
    }
    if (events & POLLOUT) flush();
    if (fd_ >= 0 && (events & (POLLIN | POLLHUP | POLLERR))) read();
  }
  void flush() {
    while (fd_ >= 0 && !out_.empty()) {
      const ssize_t n = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (n < 0) break;
      out_.erase(0, static_cast<std::size_t>(n));
    }
    if (fd_ >= 0) loop.events(fd_, out_.empty() ? POLLIN : POLLIN | POLLOUT);
  }
  void read() {
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n > 0) {
      in_.append(bytes, static_cast<std::size_t>(n));
      if (raw) {
        std::string all;
        all.swap(in_);
        if (on_line) on_line(std::move(all));
        return;
      }
      for (std::size_t end; fd_ >= 0 && (end = in_.find("\r\n")) != in_.npos;) {
        std::string line = in_.substr(0, end);
        in_.erase(0, end + 2);
        if (on_line) on_line(std::move(line));
      }
      return;
    }
    close();
    if (on_end) on_end(n < 0);
  }
  int fd_ = -1;
  bool connecting_ = false;
  std::string in_, out_;
};

// ---- hosts ----
// A sound host: answers OPEN with UP, tells the connection's load, and answers each further line at once.
class Host {
 public:
  Host(std::string uid, std::string zone, int cell) : uid(std::move(uid)), zone(std::move(zone)), cell(cell) {}
  std::string uid, zone;
  int cell;
  int port = 0;
  long long boot_ms = 0;
  std::string state = "SERVING";
  double load = 0.2;                                   // x0 as told to probes
  std::function<std::string(const std::string& open)> load_of;  // LOAD of a new connection; empty: none told
  struct Session {
    std::string id;
    Conn::Ptr conn;
    bool up = false;
  };
  std::map<int, Session> sessions;  // by a number of their own
  // Called with each OPEN that has come whole; returns what to answer, or nothing to stay silent.
  std::function<std::optional<std::string>(Host&, const std::string& id, const std::string& line)> answer;
  bool hanging = false;  // takes connections, answers nothing

  void start() {
    listener_ = listen_on(port);
    if (listener_ < 0) cannot_run("host cannot listen");
    port = port_of(listener_);
    loop.watch(listener_, POLLIN, [this](short) {
      for (int fd; (fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) take(fd);
    });
  }
  // The process ends: its connections are cut off, new ones are refused.
  void stop() {
    if (listener_ >= 0) {
      loop.unwatch(listener_);
      ::close(listener_);
      listener_ = -1;
    }
    auto all = std::move(sessions);
    sessions.clear();
    for (auto& [number, session] : all) session.conn->close();
    for (auto& conn : probes_) conn->close();
    probes_.clear();
  }
  ~Host() { stop(); }
  std::size_t count_up() const {
    std::size_t n = 0;
    for (const auto& [number, s] : sessions) n += s.up;
    return n;
  }
  std::string json() const {
    std::ostringstream out;
    out << "{\"uid\":\"" << uid << "\",\"endpoint\":\"127.0.0.1:" << port << "\",\"az\":\"" << zone
        << "\",\"model\":\"std-4core\",\"pod_group\":" << cell << ",\"state\":\"" << state
        << "\",\"capacity_hint\":1.0,\"boot_ms\":" << boot_ms << "}";
    return out.str();
  }

 private:
  void take(int fd) {
    const Conn::Ptr conn = Conn::adopt(fd);
    const int number = next_++;
    sessions[number] = {"", conn, false};
    conn->on_end = [this, number](bool) { sessions.erase(number); };
    conn->on_line = [this, number](std::string line) { on_line(number, line); };
  }
  void on_line(int number, const std::string& line) {
    const auto it = sessions.find(number);
    if (it == sessions.end()) return;
    Session& s = it->second;
    const Conn::Ptr conn = s.conn;
    if (s.up) {
      if (!hanging) conn->send("ECHO " + line + "\r\n");
      return;
    }
    if (line == "PING") return hanging ? void() : conn->send("PONG\r\n");
    if (line == "STATS") {
      char text[80];
      std::snprintf(text, sizeof text, "PONG eps=0,util=%.3f,x0=%.3f\r\n", load, load);
      return hanging ? void() : conn->send(text);
    }
    if (line.rfind("OPEN ", 0) != 0) return conn->send("SYNTAX\r\n");
    s.id = line.substr(5, line.find(' ', 5) - 5);
    record("host %s OPEN %s", uid.c_str(), s.id.c_str());
    std::optional<std::string> reply = "UP r-" + uid + "-" + s.id;
    if (answer) reply = answer(*this, s.id, line);
    if (hanging || !reply) return;
    conn->send(*reply + "\r\n");
    if (reply->rfind("UP ", 0) != 0) {
      conn->close();
      sessions.erase(number);
      return;
    }
    s.up = true;
    if (load_of)
      if (const std::string text = load_of(line); !text.empty()) conn->send("LOAD " + text + "\r\n");
  }
  int listener_ = -1, next_ = 1;
  std::vector<Conn::Ptr> probes_;
};

// ---- discovery ----
class Discovery {
 public:
  // unavailable: 503 to each call. crowded: the same to new calls, while watches that are out are answered. silent:
  // calls are read and not answered.
  enum class Mode { ok, unavailable, crowded, silent };
  int port = 0;
  std::vector<Host*> hosts;
  Mode mode = Mode::ok;
  double answer_delay = 0;  // of 503
  // Called when a list, or its changes, have been written to a caller.
  std::function<void(long long rev)> on_written;
  void start() {
    listener_ = listen_on(port);
    if (listener_ < 0) cannot_run("discovery cannot listen");
    port = port_of(listener_);
    loop.watch(listener_, POLLIN, [this](short) {
      for (int fd; (fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) take(fd);
    });
  }
  void stop() {  // goes down: watches end, connections are refused
    if (listener_ >= 0) {
      loop.unwatch(listener_);
      ::close(listener_);
      listener_ = -1;
    }
    for (auto& c : callers_) c->conn->close(true);
    callers_.clear();
  }
  ~Discovery() { stop(); }
  void set_state(Host& host, const std::string& state) {
    host.state = state;
    changed_[host.uid] = ++rev_;
    record("discovery: rev %lld: %s is %s", rev_, host.uid.c_str(), state.c_str());
    for (auto& c : callers_)
      if (c->watching && answers_watches()) reply(c, c->since);
  }
  long long rev() const { return rev_; }
  std::size_t watches() const {
    std::size_t n = 0;
    for (const auto& c : callers_) n += c->watching;
    return n;
  }
  std::string whole() const { return list(-1); }
  // Open watches fall silent: their connections stay open and are answered nothing any more. New calls are answered.
  void silence_watches() {
    for (auto& c : callers_) {
      if (!c->watching) continue;
      c->watching = false;
      ++c->turn;
    }
  }
  // When the last watch of this service came, and how long it may wait, in seconds.
  double watched_at = 0, watch_wait = 0;
  // Each watch that is out ends with 503, as a call that has waited for too long.
  void fail_watches() {
    for (auto& c : callers_)
      if (c->watching) unavailable(c);
  }

 private:
  struct Caller {
    Conn::Ptr conn;
    std::string head;
    bool watching = false;
    long long since = -1;
    int turn = 0;
  };
  using CallerPtr = std::shared_ptr<Caller>;
  bool answers_watches() const { return mode == Mode::ok || mode == Mode::crowded; }
  void take(int fd) {
    const auto c = std::make_shared<Caller>();
    c->conn = Conn::adopt(fd);
    callers_.insert(c);
    const std::weak_ptr<Caller> weak = c;
    c->conn->on_end = [this, weak](bool) {
      if (const auto caller = weak.lock()) callers_.erase(caller);
    };
    c->conn->on_line = [this, weak](std::string line) {
      const auto caller = weak.lock();
      if (!caller) return;
      if (line.rfind("GET ", 0) == 0) caller->head = line;
      if (line.empty()) request(caller);
    };
  }
  static long long parameter(const std::string& head, const std::string& name) {
    const std::size_t at = head.find(name + "=");
    return at == head.npos ? -1 : std::atoll(head.c_str() + at + name.size() + 1);
  }
  void request(const CallerPtr& c) {
    const long long since = parameter(c->head, "since"), timeout = parameter(c->head, "timeout_ms");
    record("discovery: call %s", c->head.substr(0, c->head.find(" HTTP")).c_str());
    ++c->turn;
    if (mode == Mode::silent) return;
    if (mode == Mode::unavailable || mode == Mode::crowded) {
      const int turn = c->turn;
      const std::weak_ptr<Caller> weak = c;
      loop.after(answer_delay, [this, weak, turn] {
        if (const auto caller = weak.lock(); caller && caller->turn == turn) unavailable(caller);
      });
      return;
    }
    if (since < 0 || rev_ > since) return reply(c, since);
    c->watching = true;
    c->since = since;
    watched_at = now_s();
    watch_wait = static_cast<double>(timeout) / 1000;
    const int turn = c->turn;
    const std::weak_ptr<Caller> weak = c;
    loop.after(static_cast<double>(std::clamp(timeout, 0ll, 60000ll)) / 1000, [this, weak, turn] {
      if (const auto caller = weak.lock(); caller && caller->watching && caller->turn == turn && answers_watches())
        reply(caller, caller->since);
    });
  }
  void unavailable(const CallerPtr& c) {
    c->watching = false;
    ++c->turn;
    record("discovery: 503");
    c->conn->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  }
  std::string list(long long since) const {
    std::string targets;
    for (const Host* h : hosts) {
      const auto it = changed_.find(h->uid);
      if (since >= 0 && (it == changed_.end() || it->second <= since)) continue;
      if (since < 0 && h->state == "DELETED") continue;
      targets += (targets.empty() ? "" : ",") + h->json();
    }
    return "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (since < 0 ? "true" : "false") +
           ",\"targets\":[" + targets + "]}";
  }
  void reply(const CallerPtr& c, long long since) {
    c->watching = false;
    ++c->turn;
    const std::string body = list(since);
    c->conn->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    record("discovery: wrote rev %lld", rev_);
    if (on_written) on_written(rev_);
  }
  int listener_ = -1;
  long long rev_ = 41;
  std::map<std::string, long long> changed_;
  std::set<CallerPtr> callers_;
};

// ---- nodes ----
inline std::string root_folder, temp_folder;

inline std::string run_line() {
  std::ifstream in(root_folder + "/deploy/balancer.toml");
  for (std::string line; std::getline(in, line);)
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.find('"', 7) - 7);
  cannot_run("deploy/balancer.toml has no run line");
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path + ".new", std::ios::trunc);
  out << text;
  out.close();
  if (!out || std::rename((path + ".new").c_str(), path.c_str()) != 0) cannot_run("cannot write " + path);
}

inline std::vector<pid_t> children;
inline void end_child(pid_t child) {
  kill(child, SIGKILL);
  kill(child, SIGCONT);
  waitpid(child, nullptr, 0);
  std::erase(children, child);
}

// Starts a command by /bin/sh -c from the root; it dies with this process.
inline pid_t spawn(const std::string& command, const std::vector<std::pair<std::string, std::string>>& environment,
                   const std::string& log) {
  const pid_t child = fork();
  if (child < 0) cannot_run("fork");
  if (child > 0) return children.push_back(child), child;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (const int number : {SIGPIPE, SIGTERM, SIGINT, SIGHUP, SIGALRM}) signal(number, SIG_DFL);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(fd, 1);
  dup2(fd, 2);
  const int null = open("/dev/null", O_RDONLY);
  dup2(null, 0);
  if (chdir(root_folder.c_str()) != 0) _exit(126);
  for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
  execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

class Node {
 public:
  explicit Node(std::string name) : name(std::move(name)), port(free_port()) {}
  std::string name;
  int port;
  pid_t pid = 0;
  std::string config_path() const { return temp_folder + "/" + name + ".json"; }
  std::string log_path() const { return temp_folder + "/" + name + ".log"; }
  void configure(int discovery_port, const std::string& known, const std::string& settings, int zone = 0,
                 int sockets = 1024) {
    std::string with_zone = settings;
    if (const auto at = with_zone.find("\"myZone\":0"); at != with_zone.npos)
      with_zone.replace(at, 10, "\"myZone\":" + std::to_string(zone));
    char seed[32];
    std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(std::random_device{}()) << 20 | 1);
    write_file(config_path(), "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(port) +
                                  "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery_port) +
                                  "\",\"seed\":\"" + seed +
                                  "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" +
                                  std::to_string(sockets) + "},\"known\":" + known + ",\"settings\":" + with_zone + "}");
  }
  void start(const std::vector<std::pair<std::string, std::string>>& more = {}) {
    std::vector<std::pair<std::string, std::string>> environment{{"EDGE_NAME", name}, {"EDGE_CONFIG", config_path()}};
    environment.insert(environment.end(), more.begin(), more.end());
    pid = spawn(run_line(), environment, log_path());
    record("node %s starts", name.c_str());
  }
  void signal(int number) {
    record("node %s gets signal %d", name.c_str(), number);
    if (pid > 0) kill(pid, number);
  }
  // Whether it still runs.
  bool running() {
    int status = 0;
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      record("node %s has ended: %s %d", name.c_str(), WIFSIGNALED(status) ? "signal" : "status",
             WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      std::erase(children, pid);
      pid = 0;
    }
    return pid > 0;
  }
  void end() {
    if (pid > 0) end_child(std::exchange(pid, 0));
  }
  ~Node() { end(); }
};

// Waits until each node has answered PING with PONG, as a front does; exit 2 where one has not within 20 s.
inline void wait_ready(const std::vector<Node*>& nodes) {
  for (Node* node : nodes) {
    auto ready = std::make_shared<bool>(false);
    const double until = now_s() + 20;
    while (!*ready && now_s() < until) {
      const Conn::Ptr c = Conn::connect(node->port);
      c->on_line = [ready](std::string line) { if (line.rfind("PONG", 0) == 0) *ready = true; };
      c->send("PING\r\n");
      loop.run_until(now_s() + 0.1);
    }
    if (!*ready) cannot_run("node " + node->name + " is not ready");
    record("node %s is ready", node->name.c_str());
  }
}

struct SettingsText {
  int nodes = 3;
  long long ask_every = 10000000, drain_grace = 300000, cold = 7200000, tip_after = 1500000;
  long long connect_timeout = 120000;
  double cold_share = 0.31, overload_factor = 3;
  std::string listeners =
      "[{\"name\":\"practice-run\",\"handshakeTarget\":500000,\"dialTimeout\":2000000,\"effect\":\"repeatable\","
      "\"group\":\"all\",\"dedupWindow\":5000000,\"lateUtility\":0.0,\"stream\":true,\"utility\":2.0},"
      "{\"name\":\"graded-check\",\"handshakeTarget\":500000,\"dialTimeout\":3000000,\"effect\":\"repeatable\","
      "\"group\":\"all\",\"dedupWindow\":5000000,\"lateUtility\":0.0,\"stream\":true,\"utility\":6.0}]";
  std::string zones = "[\"bangkok\",\"chiang-mai\",\"hat-yai\"]", message_aim = "[150000.0,150000.0]";
  std::string text() const {
    std::ostringstream out;
    out << "{\"balancers\":" << nodes << ",\"ceilings\":{\"cancel\":true,\"connectTimeout\":" << connect_timeout
        << ",\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":800000,\"idleClose\":30000000,\"maxDials\":6,\"maxRetryAfter\":1500000,"
           "\"maxStreams\":1048576,\"mostHeld\":1000000,\"peerMessages\":false,\"probes\":true,\"retryAfter\":false,"
           "\"secondCopies\":false},\"clients\":{\"marksRetry\":true},\"discovery\":\"on_request\",\"failureDomains\":"
        << zones
        << ",\"family\":\"conn\",\"familyInfo\":{\"groups\":true,\"messageAim\":" << message_aim
        << ",\"mode\":\"proxy\",\"park\":0,\"tellsDelay\":true,\"tellsLoad\":true,\"tenantQuotaConnections\":[]},"
           "\"goal\":{\"whole\":0.7,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.1},\"kinds\":[\"fast-2core\","
           "\"std-4core\",\"slow-2core\"],\"listeners\":"
        << listeners
        << ",\"myNumber\":0,\"myZone\":0,\"prices\":{\"connection\":0.0,\"crossZone\":0.08,\"discovery\":0.0,\"handshake\":0.0,"
           "\"lateFail\":0.1,\"moves\":0.019,\"origin\":0.0,\"peer\":0.0,\"probe\":0.0023,\"waste\":0.058},\"realms\":[],"
           "\"reporting\":{\"fields\":[\"eps\",\"util\",\"x0\"],\"how\":\"on_probe\"},\"round\":5000,\"rules\":{\"askEvery\":"
        << ask_every << ",\"cold\":" << cold << ",\"coldShare\":" << cold_share << ",\"drainGrace\":" << drain_grace
        << ",\"graceToAnswer\":20000,\"overloadFactor\":" << overload_factor << ",\"tipAfter\":" << tip_after
        << "},\"surplusUtility\":0.1,\"tier\":0,\"tiers\":[\"runner-fleet\"],\"utilityBy\":\"request\",\"weightSource\":"
           "\"rough\"}";
    return out.str();
  }
};

// ---- clients ----
// One connection of a client: sends its OPEN, and a line each 2 s from UP on.
class Client : public std::enable_shared_from_this<Client> {
 public:
  using Ptr = std::shared_ptr<Client>;
  std::string id, listener = "practice-run", group, host;  // host: from the receipt
  int deadline_ms = 2000;
  bool again = false;
  std::string answer;  // UP, BUSY, ERR, or "" with no answer
  bool up = false, moved = false, ended = false, reset = false;
  double opened_at = 0, up_at = 0, ended_at = 0, moved_at = 0;
  double line_every = 2;
  std::function<void(Client&)> on_change;  // an answer, MOVE, or the end
  Conn::Ptr conn;

  static std::string new_id() {
    static std::mt19937_64 random(std::random_device{}());
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
  }
  void start(int port) {
    if (id.empty()) id = new_id();
    if (group.empty()) group = new_id();
    opened_at = now_s();
    conn = Conn::connect(port);
    const std::weak_ptr<Client> weak = weak_from_this();
    conn->on_line = [weak](std::string line) {
      if (const Ptr c = weak.lock()) c->on_line(line);
    };
    conn->on_end = [weak](bool reset) {
      if (const Ptr c = weak.lock()) c->end(reset);
    };
    record("client %s OPEN", id.c_str());
    conn->send("OPEN " + id + " " + new_id() + " c=" + listener + ",d=" + std::to_string(deadline_ms) + ",g=" + group +
               (again ? ",again=1" : "") + "\r\n");
  }
  void leave() {
    if (conn) conn->close();
    ended = true;
  }
  int unanswered = 0;
  double last_heard = 0;

 private:
  void on_line(const std::string& line) {
    last_heard = now_s();
    if (!up && answer.empty()) {
      answer = line.substr(0, line.find(' '));
      record("client %s %s", id.c_str(), line.c_str());
      if (answer == "UP") {
        up = true;
        up_at = now_s();
        host = line.size() > 5 ? line.substr(5, line.rfind('-') - 5) : "";
        speak();
      }
      if (on_change) on_change(*this);
      return;
    }
    if (line == "MOVE") {
      moved = true;
      moved_at = now_s();
      record("client %s MOVE", id.c_str());
      conn->close();
      ended = true;
      ended_at = now_s();
      if (on_change) on_change(*this);
      return;
    }
    unanswered = 0;
  }
  void speak() {
    if (ended || line_every <= 0) return;
    const std::weak_ptr<Client> weak = weak_from_this();
    loop.after(line_every, [weak] {
      const Ptr c = weak.lock();
      if (!c || c->ended) return;
      c->conn->send("LINE " + c->id + "\r\n");
      ++c->unanswered;
      c->speak();
    });
  }
  void end(bool with_reset) {
    if (ended) return;
    ended = true;
    reset = with_reset;
    ended_at = now_s();
    record("client %s END%s%s", id.c_str(), with_reset ? " by reset" : "", up && !moved ? " without MOVE" : "");
    if (on_change) on_change(*this);
  }
};

// Arguments: the root of the repository and the folder of the case. Reads TROUBLE. At the end, however it comes, all
// started processes are ended and the temporary folder is removed.
inline bool trouble = true;
inline constexpr unsigned kLongestRun = 115;  // seconds
inline void clean_up() {
  while (!children.empty()) end_child(children.back());
  std::error_code ignored;
  if (!temp_folder.empty()) std::filesystem::remove_all(temp_folder, ignored);
}
inline void begin(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: PROGRAM ROOT CASE_FOLDER");
  root_folder = argv[1];
  record_file = std::fopen((std::string(argv[2]) + "/record.txt").c_str(), "w");
  if (!record_file) cannot_run("cannot write the record");
  setvbuf(record_file, nullptr, _IOLBF, 0);
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base && *base ? base : "/tmp") + "/flintweir-case-XXXXXX";
  if (!mkdtemp(pattern.data())) cannot_run("no temporary folder");
  temp_folder = pattern;
  std::atexit(clean_up);
  const char* value = std::getenv("TROUBLE");
  trouble = !value || std::string(value) != "0";
  signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) signal(number, [](int n) { interrupted = n; });
  alarm(kLongestRun);
  record("TROUBLE=%d", trouble ? 1 : 0);
}
inline int verdict(bool broken, const std::string& why) {
  record("%s: %s", broken ? "BROKEN" : "HELD", why.c_str());
  std::printf("%s: %s\n", broken ? "broken" : "held", why.c_str());
  return broken ? 1 : 0;
}

}  // namespace rig
