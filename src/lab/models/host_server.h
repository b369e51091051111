// A host of the lab on a network: speaks the line protocol to nodes as a HostModel decides.
#pragma once

#include <deque>

#include "lab/checks/checker.h"
#include "lab/models/host_model.h"
#include "lab/models/line_io.h"
#include "lab/reports/event_log.h"
#include "net/timer_queue.h"
#include "slab.h"

namespace flintweir::lab {

// The load and the group of a session; hosts look them up by the number in the OPEN line.
struct SessionLoad {
  double load = 0;
  std::uint64_t group = 0;
};
class SessionRegistry {
 public:
  virtual const SessionLoad* find_session(SessionNo id) const = 0;  // null if unknown

 protected:
  ~SessionRegistry() = default;
};

class HostServer final : net::AcceptEvents, net::TimerEvents {
 public:
  HostServer(net::Network& network, HostModel& model, HostNo host_no, std::string name,
             const SessionRegistry& registry, Checker& checker, EventLog& log, const HostPlan& plan,
             const TrafficPlan& traffic, Micros overload_window, std::uint64_t seed);

  void serve(const Address& at);  // throws std::system_error
  void drain();                   // refuses new sessions and moves open ones as planned
  void resume();                  // handles what arrived during a hang
  void abort_all();               // resets all connections

 private:
  struct Connection final : net::StreamEvents {
    explicit Connection(HostServer& server) : host(server), stream(server.sockets_), writer(stream) {}
    void input_ready(net::Stream&) override { host.on_input(*this); }
    void writable(net::Stream&) override { host.on_writable(*this); }
    void broken(net::Stream&) override { host.on_closed(*this, false); }
    HostServer& host;
    net::Stream stream;
    BufferedWriter writer;
    SlabKey key;
    enum class Phase { awaiting_request, answering, open, closing } phase = Phase::awaiting_request;
    SessionNo session;
    HostDialNo dial_id;
    HostModel::Answer answer = HostModel::Answer::nothing;
    double load = 0, reported_load = 0;
    std::uint64_t group = 0;
    Micros load_updated_at{0}, last_reply{0};
    std::deque<unsigned> pending_replies;  // their sizes
    unsigned lines_sent = 0;
  };
  enum class Timer : std::uint64_t { answer, reply, leave, move, close_timeout };
  void connection_pending() override;
  void timer_expired(std::uint64_t token) override;
  static std::uint64_t timer_token(SlabKey key, Timer timer) {
    return key.packed() | static_cast<std::uint64_t>(timer) << 28;
  }
  void on_input(Connection& connection);
  void on_writable(Connection& connection);
  void on_closed(Connection& connection, bool cleanly);
  void handle_first_line(Connection& connection, std::string_view line);
  void send_answer(Connection& connection);
  void send_reply(Connection& connection);
  void send_line(Connection& connection, const std::string& line);
  void send_move(Connection& connection);
  void close_gracefully(Connection& connection, Checker::CloseKind kind, std::string_view last_line);
  void release(Connection& connection);

  net::Sockets sockets_;
  net::TimerQueue timers_;
  HostModel& model_;
  HostNo host_no_;
  std::string name_;
  const SessionRegistry& registry_;
  Checker& checker_;
  EventLog& log_;
  const HostPlan& plan_;
  const TrafficPlan& traffic_;
  Micros overload_window_;
  std::knuth_b random_;
  Slab<Connection> connections_;
  std::uint64_t receipts_ = 0;
};

}  // namespace flintweir::lab
