// Small stand-ins for the cases of this review: clients, hosts, discovery and the platform that starts and ends
// the node. They speak the lines and the HTTP of the protocol page on loopback addresses, with one thread for each
// connection, and do nothing that the page does not allow.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point start_of_case = Clock::now();
// Milliseconds since the start of the case.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(Clock::now() - start_of_case).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }

// record.txt: one line for each event, with its time.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.1f  ", now_ms());
    std::va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::standin::Record::get().line(__VA_ARGS__)

// The case could not run: exit status 2.
[[noreturn]] inline void cannot_run(const std::string& why) {
  RECORD("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// One TCP connection, owned by one thread at a time.
class Connection {
 public:
  explicit Connection(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(Connection&& o) noexcept : fd_(o.fd_), in_(std::move(o.in_)) { o.fd_ = -1; }
  Connection& operator=(Connection&&) = delete;
  ~Connection() { close(); }
  static Connection connect(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      ::close(fd);
      return Connection();
    }
    return Connection(fd);
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  // True if the kernel took all of the text.
  bool send(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  enum class Got { line, nothing, end, reset };
  // The next line without its CRLF; `nothing` if none came within `ms`.
  Got read_line(std::string& line, double ms) {
    const double until = now_ms() + ms;
    for (;;) {
      if (const auto end = in_.find("\r\n"); end != in_.npos) {
        line = in_.substr(0, end);
        in_.erase(0, end + 2);
        return Got::line;
      }
      const double left = until - now_ms();
      pollfd p{fd_, POLLIN, 0};
      if (poll(&p, 1, left > 0 ? static_cast<int>(left) + 1 : 0) <= 0) {
        if (now_ms() >= until) return Got::nothing;
        continue;
      }
      char bytes[4096];
      const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0) return Got::reset;
      if (n == 0) return Got::end;
      in_.append(bytes, static_cast<std::size_t>(n));
    }
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  std::string in_;
};
inline const char* name_of(Connection::Got got) {
  return got == Connection::Got::line ? "line" : got == Connection::Got::nothing ? "nothing"
       : got == Connection::Got::end  ? "end"  : "reset";
}

inline std::atomic<bool> case_is_over{false};

// A listening socket on a free port of 127.0.0.1; serves each connection in a thread of its own.
class Server {
 public:
  explicit Server(std::function<void(Connection)> serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd_, 1024) != 0)
      cannot_run("no free port");
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    std::thread([this] {
      while (!case_is_over) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd] { serve_(Connection(fd)); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  std::function<void(Connection)> serve_;
  int fd_ = -1, port_ = 0;
};

inline int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0) cannot_run("no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

// A host. It takes each session with UP, answers each line with one line, and answers probes. While `hangs` is set it
// reads nothing and answers nothing, on old and new connections. While `drains` is set it turns new sessions away.
class Host {
 public:
  explicit Host(std::string name) : name_(std::move(name)), server_([this](Connection c) { serve(std::move(c)); }) {}
  const std::string& name() const { return name_; }
  int port() const { return server_.port(); }
  std::atomic<bool> hangs{false}, drains{false};
  struct Taken {
    std::string id;
    double at;
  };
  // The OPEN lines whose last byte has come, with the time.
  std::vector<Taken> taken() const {
    const std::lock_guard lock(mutex_);
    return taken_;
  }

 private:
  void wait_while_hanging() const {
    while (hangs && !case_is_over) sleep_ms(5);
  }
  void serve(Connection c) {
    std::string line;
    bool is_open = false;
    for (const double until = now_ms() + 115000; now_ms() < until && !case_is_over;) {
      wait_while_hanging();
      const auto got = c.read_line(line, 20);
      if (got == Connection::Got::nothing) continue;
      if (got != Connection::Got::line) return;
      wait_while_hanging();
      if (is_open) {
        c.send("ECHO " + line + "\r\n");
      } else if (line == "STATS") {
        c.send("PONG eps=0,util=0.20,queue=0,x0=0.20\r\n");
      } else if (line == "PING") {
        c.send("PONG\r\n");
      } else if (line.rfind("OPEN ", 0) == 0) {
        const std::string id = line.substr(5, line.find(' ', 5) - 5);
        {
          const std::lock_guard lock(mutex_);
          taken_.push_back({id, now_ms()});
        }
        RECORD("host %s: got %s%s", name_.c_str(), line.c_str(), drains ? "; drains, answers BUSY" : "; answers UP");
        if (drains) return void(c.send("BUSY\r\n"));
        c.send("UP r-" + id + "\r\n");
        is_open = true;
      } else {
        c.send("SYNTAX\r\n");
      }
    }
  }
  std::string name_;
  mutable std::mutex mutex_;
  std::vector<Taken> taken_;
  Server server_;
};

inline std::string target(const Host& host, const char* state) {
  return "{\"uid\":\"" + host.name() + "\",\"endpoint\":\"127.0.0.1:" + std::to_string(host.port()) +
         "\",\"az\":\"a\",\"model\":\"m1\",\"pod_group\":1,\"state\":\"" + state +
         "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
}
inline std::string whole_list(int rev, const std::string& targets) {
  return "{\"rev\":" + std::to_string(rev) + ",\"all\":true,\"targets\":[" + targets + "]}";
}

// Discovery, or the agent that it pushes lists to: answers a request for the whole list at once and a watch when the
// list has a newer version or its wait is over. While `silent` is set it takes requests and answers none; those that
// still wait are answered when it is back.
class Discovery {
 public:
  explicit Discovery(std::string name) : name_(std::move(name)), server_([this](Connection c) { serve(std::move(c)); }) {}
  int port() const { return server_.port(); }
  std::atomic<bool> silent{false};
  void set_list(int rev, std::string list) {
    const std::lock_guard lock(mutex_);
    rev_ = rev;
    list_ = std::move(list);
    RECORD("%s: has %s", name_.c_str(), list_.c_str());
  }

 private:
  void serve(Connection c) {
    std::string line, request;
    while (!case_is_over) {
      const auto got = c.read_line(line, 50);
      if (got == Connection::Got::nothing) continue;
      if (got != Connection::Got::line) return;
      if (line.rfind("GET ", 0) == 0) request = line;
      if (!line.empty()) continue;
      RECORD("%s: got %s%s", name_.c_str(), request.c_str(), silent ? "; is silent" : "");
      if (!answer(c, request)) return;
    }
  }
  static long field(const std::string& request, const char* name) {
    const auto at = request.find(name);
    return at == request.npos ? -1 : std::atol(request.c_str() + at + std::strlen(name));
  }
  bool answer(Connection& c, const std::string& request) {
    const long since = field(request, "since=");
    const double until = now_ms() + static_cast<double>(std::max(field(request, "timeout_ms="), 0l));
    for (;; sleep_ms(2)) {
      if (case_is_over) return false;
      pollfd p{c.fd(), POLLIN, 0};
      char byte;
      if (poll(&p, 1, 0) > 0 && recv(c.fd(), &byte, 1, MSG_PEEK) <= 0) return false;  // the caller has left
      if (silent) continue;
      const std::lock_guard lock(mutex_);
      if (since >= 0 && rev_ <= since && now_ms() < until) continue;
      const std::string body = since >= 0 && rev_ <= since
                                   ? "{\"rev\":" + std::to_string(rev_) + ",\"all\":false,\"targets\":[]}"
                                   : list_;
      RECORD("%s: answers %s with rev %d", name_.c_str(), request.c_str(), rev_);
      return c.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }
  std::string name_;
  std::mutex mutex_;
  int rev_ = 0;
  std::string list_;
  Server server_;
};

inline std::string environment(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value && *value ? value : fallback;
}
// False with TROUBLE=0.
inline bool trouble() { return environment("TROUBLE", "1") != "0"; }
inline std::string folder() { return environment("CASE_TMP", "."); }

inline void write_file(const std::string& path, const std::string& text) {
  std::FILE* const file = std::fopen(path.c_str(), "w");
  if (!file || std::fwrite(text.data(), 1, text.size(), file) != text.size() || std::fclose(file) != 0)
    cannot_run("cannot write " + path);
}

// A node, started by the deploy file's `run` in a shell, as the platform does.
class Node {
 public:
  Node(std::string name, int discovery_port, std::string settings, std::string known)
      : name_(std::move(name)), discovery_port_(discovery_port), port_(free_port()) {
    config_ = folder() + "/" + name_ + ".json";
    write_file(config_, "{\"name\":\"" + name_ + "\",\"listen\":\"127.0.0.1:" + std::to_string(port_) +
                            "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery_port_) +
                            "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                            "\"sockets\":1024},\"known\":" + known + ",\"settings\":" + settings + "}");
  }
  ~Node() { kill_now(); }
  int port() const { return port_; }
  void start() {
    const std::string run = environment("NODE_RUN", "exec build/flintweir serve");
    const std::string log = folder() + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ < 0) cannot_run("fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
      setenv("EDGE_NAME", name_.c_str(), 1);
      setenv("EDGE_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      setenv("EDGE_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery_port_)).c_str(), 1);
      setenv("EDGE_CONFIG", config_.c_str(), 1);
      unsetenv("EDGE_OPERATOR");
      if (!std::freopen(log.c_str(), "a", stderr)) _exit(127);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    started_at_ = now_ms();
    RECORD("platform: starts %s, pid %d: %s", name_.c_str(), static_cast<int>(pid_), run.c_str());
  }
  double started_at() const { return started_at_; }
  // As a front: asks until the node answers PONG.
  void wait_ready(double ms = 30000) {
    for (const double until = now_ms() + ms; now_ms() < until; sleep_ms(20)) {
      if (!running()) cannot_run(name_ + " has exited");
      Connection c = Connection::connect(port_);
      std::string line;
      if (c.open() && c.send("PING\r\n") && c.read_line(line, 2000) == Connection::Got::line && line == "PONG")
        return RECORD("front: %s has answered PONG", name_.c_str());
    }
    cannot_run(name_ + " does not become ready");
  }
  void signal(int number) {
    RECORD("platform: sends %s to %s", number == SIGTERM ? "SIGTERM" : number == SIGKILL ? "SIGKILL"
                                       : number == SIGHUP ? "SIGHUP" : "a signal", name_.c_str());
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Holds the process up until resume().
  void pause() {
    if (pid_ > 0) ::kill(pid_, SIGSTOP);
  }
  void resume() {
    if (pid_ > 0) ::kill(pid_, SIGCONT);
  }
  bool running() {
    int status = 0;
    if (pid_ <= 0) return false;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    RECORD("platform: %s has ended, status %d, signal %d", name_.c_str(), WIFEXITED(status) ? WEXITSTATUS(status) : -1,
           WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    pid_ = -1;
    return false;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    RECORD("platform: %s has been killed", name_.c_str());
    pid_ = -1;
  }

 private:
  std::string name_, config_;
  int discovery_port_, port_;
  pid_t pid_ = -1;
  double started_at_ = 0;
};

// What one client asked for and heard. It opens one connection, sends one OPEN line, waits for its answer, and while
// the session lasts sends a line every 2 s.
struct Session {
  std::string id;
  double sent_at = -1;      // the last byte of OPEN was taken by a connection that the node's machine accepted
  double answered_at = -1;  // a whole line came back
  std::string answer;       // that line, or how the connection ended without one
  bool up = false, moved = false;
  double ended_at = -1;
};

// `wait_ms`: the client's d. It listens for `listen_ms` at most.
inline void run_client(int port, Session& s, const std::string& listener, int wait_ms, double listen_ms) {
  Connection c = Connection::connect(port);
  if (!c.open()) {
    s.answer = "(not connected)";
    return;
  }
  const std::string open =
      "OPEN " + s.id + " 7f3a9c21e0b4" + s.id.substr(s.id.size() - 4) + " c=" + listener + ",d=" + std::to_string(wait_ms);
  if (!c.send(open + "\r\n")) {
    s.answer = "(not sent)";
    return;
  }
  s.sent_at = now_ms();
  RECORD("client %s: sent %s", s.id.c_str(), open.c_str());
  std::string line;
  double next_line_at = 0;
  for (const double until = now_ms() + listen_ms; now_ms() < until && !case_is_over;) {
    const auto got = c.read_line(line, 20);
    if (got == Connection::Got::line) {
      if (s.answered_at < 0) {
        s.answered_at = now_ms();
        s.answer = line;
        s.up = line.rfind("UP ", 0) == 0;
        next_line_at = now_ms() + 500;
        RECORD("client %s: answered %s after %.0f ms", s.id.c_str(), line.c_str(), s.answered_at - s.sent_at);
        if (!s.up) break;
      } else if (line == "MOVE") {
        s.moved = true;
        RECORD("client %s: MOVE", s.id.c_str());
        break;
      }
    } else if (got != Connection::Got::nothing) {
      if (s.answered_at < 0) s.answer = got == Connection::Got::end ? "(end of connection)" : "(reset)";
      RECORD("client %s: connection ended (%s), answer so far: %s", s.id.c_str(), name_of(got), s.answer.c_str());
      break;
    }
    if (s.up && now_ms() >= next_line_at) {
      c.send("LINE " + s.id + "\r\n");
      next_line_at = now_ms() + 2000;
    }
  }
  s.ended_at = now_ms();
}

}  // namespace standin
