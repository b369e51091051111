// Starts the program and speaks to it over sockets: clients, hosts and discovery are small stand-ins played
// by the test itself. Waits end on what is waited for; the longest ones only where a test fails.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace flintweir::node_tests {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr auto kMaxWait = 10s;

inline bool wait_readable(int fd, Steady::duration within) {
  pollfd p{fd, POLLIN, 0};
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(within).count();
  return poll(&p, 1, static_cast<int>(std::max<long long>(ms, 0))) > 0;
}

// One end of a connection.
class Peer {
 public:
  Peer() = default;
  explicit Peer(int fd) : fd_(fd) {}
  Peer(Peer&& o) noexcept : fd_(std::exchange(o.fd_, -1)), in_(std::move(o.in_)) {}
  Peer& operator=(Peer&& o) noexcept {
    close();
    fd_ = std::exchange(o.fd_, -1);
    in_ = std::move(o.in_);
    return *this;
  }
  ~Peer() { close(); }
  static Peer connect(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    return Peer(fd);
  }
  int fd() const { return fd_; }
  void send(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) return;
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  // As much as is taken at once; the rest stays with the caller.
  std::size_t try_send(std::string_view text) const {
    const ssize_t n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  // The next line without its end; "(end)", "(reset)" or "(nothing)" where there is none.
  std::string read_line(Steady::duration within = kMaxWait) {
    const auto until = Steady::now() + within;
    for (;;) {
      if (const auto end = in_.find("\r\n"); end != in_.npos) {
        const std::string out = in_.substr(0, end);
        in_.erase(0, end + 2);
        return out;
      }
      if (!wait_readable(fd_, until - Steady::now())) return "(nothing)";
      char bytes[16384];
      const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0) return "(reset)";
      if (n == 0) return "(end)";
      in_.append(bytes, static_cast<std::size_t>(n));
    }
  }
  bool wait_closed() {  // however it ended
    const std::string last = read_line();
    return last == "(end)" || last == "(reset)";
  }
  void shutdown_send() { shutdown(fd_, SHUT_WR); }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

 private:
  int fd_ = -1;
  std::string in_;
};

// A listening stand-in on a free port.
class Acceptor {
 public:
  Acceptor() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    socklen_t size = sizeof at;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    EXPECT_EQ(listen(fd_, 256), 0);
  }
  Acceptor(Acceptor&& o) noexcept : fd_(std::exchange(o.fd_, -1)), port_(o.port_) {}
  ~Acceptor() { close(); }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  int fd() const { return fd_; }
  int port() const { return port_; }
  bool connection_pending(Steady::duration within = kMaxWait) const { return wait_readable(fd_, within); }
  Peer accept() const {
    if (!connection_pending()) return ADD_FAILURE() << "nobody came to " << port_, Peer();
    return Peer(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  }

 private:
  int fd_, port_ = 0;
};

inline std::string target_json(const std::string& uid, int port, const char* state = "SERVING") {
  std::ostringstream out;
  out << R"({"uid":")" << uid << R"(","endpoint":"127.0.0.1:)" << port
      << R"(","az":"a","model":"m","pod_group":1,"state":")" << state
      << R"(","capacity_hint":1.0,"boot_ms":0})";
  return out.str();
}

inline std::string list_json(int rev, bool whole, const std::string& targets) {
  return "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (whole ? "true" : "false") + ",\"targets\":[" +
         targets + "]}";
}

inline std::string settings_json(bool probes, bool stay_away, bool pushed, int dial_timeout,
                                 int ask_every = 10'000'000) {
  std::ostringstream out;
  out << R"({"balancers":1,"ceilings":{"connectTimeout":500000,"maxDials":4,"maxRetryAfter":1500000,"retryAfter":)"
      << (stay_away ? "true" : "false") << R"(,)"
      << R"("probes":)" << (probes ? "true" : "false") << R"(},"discovery":")"
      << (pushed ? "pushed" : "on_request")
      << R"(","failureDomains":["a","b"],"myZone":0,"prices":{"probe":0},)"
      << R"("familyInfo":{"groups":true,"messageAim":[150000],"tellsDelay":true},)"
      << R"("reporting":{"fields":["util","x0"],"how":"on_probe"},)"
      << R"("rules":{"askEvery":)" << ask_every
      << R"(,"cold":7000000,"coldShare":0.3,"overloadFactor":3.0,"tipAfter":1500000},)"
      << R"("listeners":[{"name":"chat","dialTimeout":)" << dial_timeout
      << R"(,"effect":"repeatable","group":"all","handshakeTarget":)" << dial_timeout / 2
      << R"(,"utility":2},{"name":"pay","dialTimeout":)" << dial_timeout
      << R"(,"effect":"once","group":"all","handshakeTarget":)" << dial_timeout / 2 << R"(,"utility":2}]})";
  return out.str();
}

// The program, from its start to its end.
class Program {
 public:
  // `discovery` is what EDGE_DISCOVERY says. A reload is asked for before the program begins where told.
  Program(const std::string& config, std::vector<std::string> words, const std::string& discovery = "",
          bool reload_first = false) {
    char path[] = "/tmp/flintweir_test_XXXXXX";
    ::close(mkstemp(path));
    path_ = path;
    write_config(config);
    int pipes[2];
    EXPECT_EQ(pipe(pipes), 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipes[1], 2);
      ::close(pipes[0]);
      ::close(pipes[1]);
      setenv("EDGE_CONFIG", path, 1);
      unsetenv("EDGE_LISTEN");
      unsetenv("EDGE_DISCOVERY");
      if (!discovery.empty()) setenv("EDGE_DISCOVERY", discovery.c_str(), 1);
      if (reload_first) {  // waits until the program is ready for it, or ends it
        sigset_t all;
        sigfillset(&all);
        sigprocmask(SIG_BLOCK, &all, nullptr);
        raise(SIGHUP);
      }
      std::vector<char*> args{const_cast<char*>(FLINTWEIR_PROGRAM)};
      for (std::string& w : words) args.push_back(w.data());
      args.push_back(nullptr);
      execv(FLINTWEIR_PROGRAM, args.data());
      _exit(127);
    }
    ::close(pipes[1]);
    log_ = Log(pipes[0]);
  }
  ~Program() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    ::close(log_.fd);
    unlink(path_.c_str());
  }
  Program(const Program&) = delete;
  // The next log line that holds this; empty where none comes.
  std::string wait_for_log(const std::string& part, Steady::duration within = kMaxWait) {
    for (const auto until = Steady::now() + within; Steady::now() < until;) {
      if (const auto end = log_.in.find('\n'); end != log_.in.npos) {
        const std::string out = log_.in.substr(0, end);
        log_.in.erase(0, end + 1);
        if (out.find(part) != out.npos) return out;
        continue;
      }
      char bytes[4096];
      const ssize_t n =
          wait_readable(log_.fd, until - Steady::now()) ? read(log_.fd, bytes, sizeof bytes) : 0;
      if (n <= 0) break;
      log_.in.append(bytes, static_cast<std::size_t>(n));
    }
    return {};
  }
  int wait_for_exit() {
    int status = 0;
    for (const auto until = Steady::now() + kMaxWait; Steady::now() < until; wait_readable(-1, 5ms)) {
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      }
    }
    return -1000;
  }
  void send_signal(int number) const { kill(pid_, number); }
  void write_config(const std::string& config) const { std::ofstream(path_) << config; }
  bool is_running() { return waitpid(pid_, nullptr, WNOHANG) == 0; }

 private:
  struct Log {
    explicit Log(int f = -1) : fd(f) {}
    int fd;
    std::string in;
  };
  pid_t pid_ = -1;
  Log log_;
  std::string path_;
};

// A node among stand-ins.
class Node : public testing::Test {
 protected:
  void start_node(std::size_t count, bool probes = false, int sockets = 1000, bool stay_away = false,
                  bool reload_first = false) {
    std::string targets;
    for (std::size_t i = 0; i < count; ++i) {
      hosts.emplace_back();
      if (i > 0) targets += ',';
      targets += target_json(host_name(i), hosts[i].port());
    }
    config = [=, this](int at) {
      return R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" + std::to_string(at) +
             R"(","seed":"8c1f","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
             R"(,"sockets":)" + std::to_string(sockets) + R"(},"known":)" + list_json(1, true, targets) +
             R"(,"settings":)" + settings_json(probes, stay_away, pushed, dial_timeout, ask_every) + '}';
    };
    program = std::make_unique<Program>(config(1), std::vector<std::string>{"serve"},
                                        "127.0.0.1:" + std::to_string(discovery.port()), reload_first);
    const std::string line = program->wait_for_log("serving at ");
    ASSERT_FALSE(line.empty()) << "the program does not serve";
    port = std::stoi(line.substr(line.rfind(':') + 1));
  }
  void TearDown() override { EXPECT_TRUE(!program || program->is_running()) << "the program crashed"; }
  static std::string host_name(std::size_t host) { return "s-" + std::to_string(host); }
  Peer open_session(const std::string& listener = "chat", int d = 2000, const std::string& more = "") {
    Peer client = Peer::connect(port);
    client.send("OPEN " + std::to_string(++ids) + " 7f c=" + listener + ",d=" + std::to_string(d) + more +
                "\r\n");
    return client;
  }
  // The host that is dialled next, and the connection to it.
  std::pair<std::size_t, Peer> next_dial() {
    std::vector<pollfd> acceptors;
    for (const Acceptor& h : hosts) acceptors.push_back({h.fd(), POLLIN, 0});
    EXPECT_GT(poll(acceptors.data(), acceptors.size(), 10000), 0) << "no host was dialled";
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (acceptors[i].revents & POLLIN) return {i, hosts[i].accept()};
    }
    return {0, Peer()};
  }
  std::pair<Peer, Peer> accepted_session() {  // client, host
    Peer client = open_session();
    Peer host = next_dial().second;
    EXPECT_EQ(host.read_line().substr(0, 5), "OPEN ");
    host.send("UP r1\r\n");
    EXPECT_EQ(client.read_line(), "UP r1");
    return {std::move(client), std::move(host)};
  }
  // Answers one call of discovery.
  static void respond(Peer& watch, const std::string& body, const char* status = "200 OK") {
    watch.send("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
  }
  static std::string read_request(Peer& watch) {  // the first line of a call
    const std::string first = watch.read_line();
    for (std::string l = first; !l.empty() && l[0] != '(';) l = watch.read_line();
    return first;
  }

  // No two nodes wait equally long, but none longer than 20 s or less than half of that.
  static void expect_watch_request(const std::string& call, int since) {
    const std::string begin = "GET /api/targets?since=" + std::to_string(since) + "&timeout_ms=";
    ASSERT_EQ(call.substr(0, begin.size()), begin);
    const int ms = std::stoi(call.substr(begin.size()));
    EXPECT_TRUE(ms >= 10000 && ms <= 20000) << call;
    EXPECT_EQ(call, begin + std::to_string(ms) + " HTTP/1.1");
  }

  std::vector<Acceptor> hosts;
  Acceptor discovery;
  std::unique_ptr<Program> program;
  std::function<std::string(int)> config;  // with discovery at a port
  int port = 0, ids = 0, dial_timeout = 2'000'000, ask_every = 10'000'000, memory_mb = 192;
  bool pushed = false;
};

}  // namespace flintweir::node_tests
