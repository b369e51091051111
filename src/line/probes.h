// Asks hosts for their load, over one kept connection a host.
#pragma once

#include <unordered_map>

#include "balance.h"
#include "line/host_table.h"
#include "net/stream.h"
#include "net/timer_queue.h"
#include "slab.h"

namespace flintweir::line {

using namespace net;

class Probes {
 public:
  class Told {
   public:
    virtual void probed(HostId host, DialOutcome how, Micros took, const LoadReport& report) = 0;

   protected:
    ~Told() = default;
  };
  Probes(Sockets& sockets, TimerQueue& timers, Micros answer_within, Told& told)
      : sockets_(sockets), timers_(timers), answer_within_(answer_within), told_(told) {}

  // Answered by one call of probed(), in a later turn.
  void ask(HostId host, const Address* at);
  void forget(HostId host);
  // The host may be short of connections: sessions go first. None is kept open there for a while.
  void give_way(HostId host);

 private:
  class Probe final : StreamEvents, TimerEvents {
   public:
    explicit Probe(Probes& probes) : probes_(probes), stream_(probes.sockets_) {}
    void ask(HostId host, const Address* at);
    void drop();
    void give_way();

   private:
    void connected(Stream&, ConnectResult result) override;
    void input_ready(Stream&) override;
    void writable(Stream&) override { send_rest(); }
    void broken(Stream&) override;
    void timer_expired(std::uint64_t token) override;
    void send();
    void send_rest();
    void end(DialOutcome how, const LoadReport& report);

    Probes& probes_;
    Stream stream_;
    HostId host_;
    Address at_;
    Micros asked_at_{0}, keeps_from_{0};
    std::uint64_t token_ = 0;
    std::size_t sent_ = 0;
    bool asking_ = false, kept_ = false;  // kept: the connection has answered before
  };

  Sockets& sockets_;
  TimerQueue& timers_;
  Micros answer_within_;
  Told& told_;
  Slab<Probe> probes_;
  std::unordered_map<std::uint64_t, SlabKey> by_host_;
};

}  // namespace flintweir::line
