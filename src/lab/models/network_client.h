// A client of the lab on a network: the platform's line protocol round a ClientModel.
#pragma once

#include <deque>

#include "lab/checks/checker.h"
#include "lab/models/client_model.h"
#include "lab/models/line_io.h"
#include "lab/reports/event_log.h"
#include "lab/reports/meter.h"
#include "net/timer_queue.h"

namespace flintweir::lab {

// What a client needs of the world: a way in, and a place in the register.
class ClientEnvironment {
 public:
  struct Route {
    NodeNo node;
    Address address;
  };
  virtual std::optional<Route> choose_node(ZoneNo zone) = 0;
  virtual SessionNo register_session(const ClientModel::Session& session) = 0;
  virtual Second& current_second() = 0;  // of the run that it is now
  virtual Tally& tally() = 0;

 protected:
  ~ClientEnvironment() = default;
};

class NetworkClient final : net::StreamEvents, net::TimerEvents {
 public:
  NetworkClient(net::Sockets& sockets, net::TimerQueue& timers, MachineNo machine, ZoneNo zone,
                ClientModel model, ClientEnvironment& entry, Checker& checker, EventLog& log,
                const TrafficPlan& plan)
      : stream_(sockets),
        out_(stream_),
        timers_(timers),
        machine_(machine),
        zone_(zone),
        model_(std::move(model)),
        entry_(entry),
        checker_(checker),
        log_(log),
        plan_(plan) {}

  void start();
  void connect_now();      // at once, if it rests
  bool drop_connection();  // breaks its connection, if it has one, and comes again
  void stop() { stream_.close(); }
  bool wants(Micros now) const { return model_.wants(now); }
  double utility() const { return model_.listener().rules.utility; }
  // Whether its connection does what it is for.
  bool meets_message_target(Micros now) const;

 private:
  enum class Phase { idle, connecting, asking, open, ending };
  enum class Due : std::uint64_t { due, patience, speak, had, linger, leave };
  std::uint64_t token(Due due) const { return turn_ << 3 | static_cast<std::uint64_t>(due); }
  void connected(net::Stream&, net::ConnectResult result) override;
  void input_ready(net::Stream&) override;
  void writable(net::Stream&) override;
  void broken(net::Stream&) override;
  void timer_expired(std::uint64_t token) override;
  void wait(Micros in);  // for the next call of due()
  void ask();
  void sent();
  void first(std::string_view line, std::size_t whole);  // with its end it is so long
  void heard(std::string_view line);
  void speak();
  void over(bool by_itself);
  void shut();  // closes, and forgets what is due

  net::Stream stream_;
  BufferedWriter out_;
  net::TimerQueue& timers_;
  MachineNo machine_;
  ZoneNo zone_;
  ClientModel model_;
  ClientEnvironment& entry_;
  Checker& checker_;
  EventLog& log_;
  const TrafficPlan& plan_;
  Phase phase_ = Phase::idle;
  std::uint64_t turn_ = 1;
  SessionNo id_;
  NodeNo node_;
  Micros asked_at_{0}, last_took_{0};
  std::deque<Micros> unanswered_;  // when each line was said
  unsigned said_ = 0;
  bool counted_ = false, moved_ = false, asked_told_ = false;
};

// How clients break the protocol, one kind after the other.
class MisbehavingClient final : net::StreamEvents, net::TimerEvents {
 public:
  MisbehavingClient(net::Sockets& sockets, net::TimerQueue& timers, MachineNo machine, ZoneNo zone,
                    ClientEnvironment& entry, std::function<bool(NodeNo)> node_sound, Checker& checker,
                    EventLog& log, std::uint64_t seed)
      : stream_(sockets),
        out_(stream_),
        timers_(timers),
        machine_(machine),
        zone_(zone),
        entry_(entry),
        node_sound_(std::move(node_sound)),
        checker_(checker),
        log_(log),
        chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {}
  void start() { next(); }
  void stop() { stream_.close(); }

 private:
  enum Kind : unsigned { silent, rubbish, endless, twice, half, leaves, flood, unknown, kinds };
  void connected(net::Stream&, net::ConnectResult result) override;
  void input_ready(net::Stream&) override;
  void writable(net::Stream&) override { out_.flush(); }
  void broken(net::Stream&) override { done(); }
  void timer_expired(std::uint64_t token) override;
  void next();
  void done();

  net::Stream stream_;
  BufferedWriter out_;
  net::TimerQueue& timers_;
  MachineNo machine_;
  ZoneNo zone_;
  ClientEnvironment& entry_;
  std::function<bool(NodeNo)> node_sound_;
  Checker& checker_;
  EventLog& log_;
  std::knuth_b chance_;
  Kind kind_ = silent;
  NodeNo node_;
  std::uint64_t turn_ = 0;
  Micros began_{0};
  bool waiting_ = false;
};

}  // namespace flintweir::lab
