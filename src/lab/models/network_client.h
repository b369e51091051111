// Clients of the lab on a network: they speak the line protocol to a node as a ClientModel decides.
#pragma once

#include <deque>

#include "lab/checks/checker.h"
#include "lab/models/client_model.h"
#include "lab/models/line_io.h"
#include "lab/reports/event_log.h"
#include "lab/reports/meter.h"
#include "net/timer_queue.h"

namespace flintweir::lab {

// What a client needs of its surroundings: a node to connect to, a session number, and the counters.
class ClientEnvironment {
 public:
  struct Route {
    NodeNo node;
    Address address;
  };
  virtual std::optional<Route> choose_node(ZoneId zone) = 0;  // none if no node is in service
  // Assigns the number that the OPEN line gives; hosts look up the load and the group by it.
  virtual SessionNo register_session(const ClientModel::Session& session) = 0;
  virtual Second& current_second() = 0;  // the counters of the current second of the run
  virtual Tally& tally() = 0;

 protected:
  ~ClientEnvironment() = default;
};

class NetworkClient final : net::StreamEvents, net::TimerEvents {
 public:
  NetworkClient(net::Sockets& sockets, net::TimerQueue& timers, MachineId machine, ZoneId zone,
                ClientModel model, ClientEnvironment& environment, Checker& checker, EventLog& log,
                const TrafficPlan& plan)
      : stream_(sockets),
        writer_(stream_),
        timers_(timers),
        machine_(machine),
        zone_(zone),
        model_(std::move(model)),
        environment_(environment),
        checker_(checker),
        log_(log),
        plan_(plan) {}

  void start();
  // Connects at once if the client is idle.
  void connect_now();
  // Resets the open connection and schedules a reconnect; false if no connection is open.
  bool drop_connection();
  void stop() { stream_.close(); }
  bool wants(Micros now) const { return model_.wants(now); }
  double utility() const { return model_.listener().rules.utility; }
  // True if a connection is open and its lines are answered within the target of the listener.
  bool meets_message_target(Micros now) const;

 private:
  enum class Phase { idle, connecting, waiting, open, closing };
  enum class Timer : std::uint64_t { attempt, answer_timeout, send_line, session_end, close_timeout, leave };
  std::uint64_t timer_token(Timer timer) const {
    return generation_ << 3 | static_cast<std::uint64_t>(timer);
  }
  void connected(net::Stream&, net::ConnectResult result) override;
  void input_ready(net::Stream&) override;
  void writable(net::Stream&) override;
  void broken(net::Stream&) override;
  void timer_expired(std::uint64_t token) override;
  void schedule_attempt(Micros delay);
  void connect();
  void report_request();  // once the request has been written out
  // `size` is the length of the line with its line end.
  void on_answer(std::string_view line, std::size_t size);
  void on_line(std::string_view line);
  void send_line();
  // The connection has ended; `by_client` if this client is the one that closes.
  void on_closed(bool by_client);
  void close();  // closes the connection and cancels all timers

  net::Stream stream_;
  BufferedWriter writer_;
  net::TimerQueue& timers_;
  MachineId machine_;
  ZoneId zone_;
  ClientModel model_;
  ClientEnvironment& environment_;
  Checker& checker_;
  EventLog& log_;
  const TrafficPlan& plan_;
  Phase phase_ = Phase::idle;
  std::uint64_t generation_ = 1;
  SessionNo session_id_;
  NodeNo node_;
  Micros requested_at_{0}, last_response_time_{0};
  std::deque<Micros> unanswered_lines_;  // when each was sent
  unsigned lines_sent_ = 0;
  bool session_counted_ = false, moved_ = false, request_reported_ = false;
};

// A client that breaks the protocol, in one randomly chosen way after the other. The node has to answer with
// an error or close within the limit of Rule::rude.
class MisbehavingClient final : net::StreamEvents, net::TimerEvents {
 public:
  MisbehavingClient(net::Sockets& sockets, net::TimerQueue& timers, MachineId machine, ZoneId zone,
                    ClientEnvironment& environment, std::function<bool(NodeNo)> node_reachable,
                    Checker& checker, EventLog& log, std::uint64_t seed)
      : stream_(sockets),
        writer_(stream_),
        timers_(timers),
        machine_(machine),
        zone_(zone),
        environment_(environment),
        node_reachable_(std::move(node_reachable)),
        checker_(checker),
        log_(log),
        random_(static_cast<std::knuth_b::result_type>(seed | 1)) {}
  void start() { schedule_next(); }
  void stop() { stream_.close(); }

 private:
  enum Kind : unsigned {
    silent,
    other_protocol,
    overlong_line,
    double_request,
    partial_request,
    abort_after_ping,
    ping_flood,
    unknown_listener,
    kind_count
  };
  void connected(net::Stream&, net::ConnectResult result) override;
  void input_ready(net::Stream&) override;
  void writable(net::Stream&) override { writer_.flush(); }
  void broken(net::Stream&) override { finish(); }
  void timer_expired(std::uint64_t token) override;
  void schedule_next();
  void finish();

  net::Stream stream_;
  BufferedWriter writer_;
  net::TimerQueue& timers_;
  MachineId machine_;
  ZoneId zone_;
  ClientEnvironment& environment_;
  std::function<bool(NodeNo)> node_reachable_;
  Checker& checker_;
  EventLog& log_;
  std::knuth_b random_;
  Kind kind_ = silent;
  NodeNo node_;
  std::uint64_t generation_ = 0;
  Micros connected_at_{0};
  bool awaiting_error_ = false;
};

}  // namespace flintweir::lab
