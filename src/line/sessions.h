// The table of sessions: what clients, hosts and the clock say becomes calls on the module, and what the
// module does becomes answers, dials and moves.
#pragma once

#include "balance.h"
#include "line/host_table.h"
#include "line/probes.h"
#include "line/protocol.h"
#include "line/proxy_session.h"
#include "slab.h"

namespace flintweir::line {

// How long things may take on this deployment's network.
struct Timeouts {
  Micros connect, first_line, probe;
  Micros longest_stay_away;  // zero where clients cannot be told when to come back
};

class Sessions final : public BalancerDelegate, Probes::Events {
 public:
  class Events {
   public:
    virtual void watch_host_list() = 0;

   protected:
    ~Events() = default;
  };
  // `message_target` is zero where delays of messages are not the module's to know.
  Sessions(Sockets& sockets, TimerQueue& timers, HostTable& hosts, Timeouts patience, Micros message_target,
           OpenLineParser heads, std::size_t most, std::size_t most_idle, Events& told);

  void set_balancer(std::unique_ptr<Balancer> balancer) { balancer_ = std::move(balancer); }
  Balancer& balancer_now();  // with the time said
  void add_client(SocketKey socket);
  // Ends a connection that asks for nothing, for one that may; false: there is none.
  bool evict_idle_client() { return idle_.evict_oldest(); }
  // From now on nothing new is taken; once fronts have noticed, open sessions are moved, evenly over so long.
  void shut_down(Micros over);

  // Since the start: clients that went before their answer, and dials that were under way and did not begin
  // as the client was found gone at the last look.
  std::uint64_t clients_gone() const { return clients_gone_; }
  std::uint64_t dials_not_begun() const { return dials_not_begun_; }

  void dial(SessId sess, HostId host, Micros limit) override;
  void refuse(SessId sess, Micros stay_away, RefusalReason why) override;
  void tear_down(SessId sess, RefusalReason why) override;
  void move(SessId sess) override;
  void probe(HostId host) override;
  void set_timer(Micros in, TimerId wake) override { timers_.schedule(in, module_wakes_, wake.value); }
  void watch_list() override { told_.watch_host_list(); }
  void forget_host(HostId host) override;
  void log(std::string_view line) override;
  void log(std::string_view line, HostId host) override;

 private:
  friend class ProxySession;
  struct Waker final : TimerEvents {
    Waker(Sessions& s, void (Sessions::*c)(std::uint64_t)) : sessions(s), call(c) {}
    void timer_expired(std::uint64_t token) override { (sessions.*call)(token); }
    Sessions& sessions;
    void (Sessions::*call)(std::uint64_t);
  };
  void on_probe_ended(HostId host, DialOutcome how, Micros took, const LoadReport& report) override;
  void wake_module(std::uint64_t wake) { balancer_now().timer_expired(TimerId{wake}); }
  void dial_again(std::uint64_t key);
  void move_next(std::uint64_t);

  void busy(ProxySession& link, Micros stay_away, Reason why, std::optional<RefusalReason> refusal = {});
  ProxySession* find(SessId sess) { return links_.find(SlabKey::unpacked(sess.value)); }
  bool has_room() const { return count_ <= most_ && sockets_.has_room(kSpare); }
  void again(SlabKey key, Micros in) { timers_.schedule(in, dial_again_, key.packed()); }
  bool delay_counts(HostId host, Micros delay);
  void free(SlabKey key);

  static constexpr Micros kFrontNotices =
      std::chrono::milliseconds(500);            // they go on sending for up to 0.4 s
  static constexpr std::size_t kIdsKept = 4096;  // of connections that are over
  static constexpr std::size_t kSpare = 16;      // descriptors kept for refusing, for probes and for the list

  Sockets& sockets_;
  TimerQueue& timers_;
  HostTable& hosts_;
  Timeouts patience_;
  Micros message_target_;
  OpenLineParser heads_;
  std::size_t most_, count_ = 0;
  IdleClients idle_;  // outlives the connections in it
  ConnectionIds ids_{kIdsKept};
  Events& told_;
  Probes probes_;
  Waker module_wakes_{*this, &Sessions::wake_module}, dial_again_{*this, &Sessions::dial_again},
      move_next_{*this, &Sessions::move_next};
  Slab<ProxySession> links_;
  std::unique_ptr<Balancer> balancer_;
  bool leaving_ = false;
  std::uint64_t clients_gone_ = 0, dials_not_begun_ = 0;
  Micros move_from_{0}, leave_by_{0};
};

}  // namespace flintweir::line
