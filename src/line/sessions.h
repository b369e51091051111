// All client connections and sessions of a node. Events of clients, hosts and timers become calls of the
// balancer; the balancer's decisions become dials, answers and moves.
#pragma once

#include "balance.h"
#include "line/host_table.h"
#include "line/probes.h"
#include "line/protocol.h"
#include "line/proxy_session.h"
#include "slab.h"

namespace flintweir::line {

// Time limits that depend on the deployment.
struct Timeouts {
  Micros connect, first_line, probe;
  Micros max_retry_after;  // longest retry delay a client may be given; zero if BUSY cannot carry one
};

// How much a node holds at a time.
struct SessionLimits {
  std::size_t connections;   // of clients, with and without a session
  std::size_t idle_clients;  // connections without a session
  std::size_t retired_ids;   // of sessions that have ended, which are not accepted again
};

class Sessions final : public BalancerDelegate, Probes::Events {
 public:
  class Events {
   public:
    virtual void watch_host_list() = 0;

   protected:
    ~Events() = default;
  };
  // `message_target` is zero if message delays are not to be reported to the balancer.
  Sessions(Sockets& sockets, TimerQueue& timers, HostTable& hosts, Timeouts timeouts, Micros message_target,
           OpenLineParser open_line_parser, const SessionLimits& limits, Events& events);

  // Must be called before anything else.
  void set_balancer(std::unique_ptr<Balancer> balancer) { balancer_ = std::move(balancer); }
  // Sets the balancer's clock to the current time and returns the balancer.
  Balancer& balancer_now();
  // Takes ownership of a newly accepted socket.
  void add_client(SocketKey socket);
  // Closes the oldest connection that has no session, to free its descriptor. Returns false if there is none.
  bool evict_idle_client() { return idle_clients_.evict_oldest(); }
  // Answers health checks from now on. Until then they wait; sessions do not.
  void become_ready();
  // Refuses new sessions from now on. Once the load balancers in front of this node have noticed, moves the
  // open sessions, spread evenly over `over`.
  void shut_down(Micros over);

  // Counts since the start of the process: clients that left before their answer, and dials in progress that
  // were not sent because the last check found the client gone.
  std::uint64_t clients_gone() const { return clients_gone_; }
  std::uint64_t dials_not_begun() const { return dials_not_begun_; }

  void dial(SessId sess, HostId host, Micros limit) override;
  void refuse(SessId sess, Micros retry_after, RefusalReason reason) override;
  void tear_down(SessId sess, RefusalReason reason) override;
  void move(SessId sess) override;
  void probe(HostId host) override;
  void set_timer(Micros delay, TimerId timer) override {
    timers_.schedule(delay, balancer_timer_, timer.value);
  }
  void watch_list() override { events_.watch_host_list(); }
  void forget_host(HostId host) override;
  void log(std::string_view line) override;
  void log(std::string_view line, HostId host) override;

 private:
  friend class ProxySession;
  // Calls a member function when its timer expires.
  struct MemberTimer final : TimerEvents {
    MemberTimer(Sessions& s, void (Sessions::*f)(std::uint64_t)) : sessions(s), function(f) {}
    void timer_expired(std::uint64_t token) override { (sessions.*function)(token); }
    Sessions& sessions;
    void (Sessions::*function)(std::uint64_t);
  };
  void on_probe_ended(HostId host, DialOutcome outcome, Micros duration, const LoadReport& report) override;
  void on_balancer_timer(std::uint64_t timer) { balancer_now().timer_expired(TimerId{timer}); }
  void redial(std::uint64_t key);
  void move_next(std::uint64_t);
  void set_readiness(Readiness readiness);

  void answer_busy(ProxySession& session, Micros retry_after, Reason reason,
                   std::optional<RefusalReason> refusal = {});
  ProxySession* find(SessId sess) { return sessions_.find(SlabKey::unpacked(sess.value)); }
  bool has_room() const {
    return connection_count_ <= max_connections_ && sockets_.has_room(kReservedDescriptors);
  }
  void redial_after(SlabKey key, Micros delay) { timers_.schedule(delay, redial_timer_, key.packed()); }
  bool should_report_delay(HostId host, Micros delay);
  void remove(SlabKey key);

  // How long after this node stops answering health checks new clients may still arrive: the load balancers
  // in front of it go on sending them for up to 0.4 s.
  static constexpr Micros kFrontCheckDelay = std::chrono::milliseconds(500);
  // Descriptors kept for clients that are to be refused, for probes and for the host list.
  static constexpr std::size_t kReservedDescriptors = 16;

  Sockets& sockets_;
  TimerQueue& timers_;
  HostTable& hosts_;
  Timeouts timeouts_;
  Micros message_target_;
  OpenLineParser open_line_parser_;
  std::size_t max_connections_, connection_count_ = 0;
  IdleClients idle_clients_;  // must outlive the connections in it
  ConnectionIds connection_ids_;
  Events& events_;
  Probes probes_;
  MemberTimer balancer_timer_{*this, &Sessions::on_balancer_timer}, redial_timer_{*this, &Sessions::redial},
      move_timer_{*this, &Sessions::move_next};
  Slab<ProxySession> sessions_;
  std::unique_ptr<Balancer> balancer_;
  Readiness readiness_ = Readiness::starting;
  std::uint64_t clients_gone_ = 0, dials_not_begun_ = 0;
  Micros moves_start_at_{0}, moves_end_at_{0};
};

}  // namespace flintweir::line
