// Probes: requests for a host's load report, over one persistent connection for each host.
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
  class Events {
   public:
    virtual void on_probe_ended(HostId host, DialOutcome outcome, Micros duration,
                                const LoadReport& report) = 0;

   protected:
    ~Events() = default;
  };
  Probes(Sockets& sockets, TimerQueue& timers, Micros timeout, Events& events)
      : sockets_(sockets), timers_(timers), timeout_(timeout), events_(events) {}

  // Starts a probe, which ends with one call of on_probe_ended() in a later turn of the event loop. While a
  // probe of the host is pending, this does nothing: its end serves both calls. A null `address` makes it
  // fail unless a connection is open.
  void start(HostId host, const Address* address);
  // Drops the host and closes its connection, without a callback.
  void remove(HostId host);
  // Closes the host's connection when it is idle and keeps none open for a while: the host may be short of
  // connections, and sessions take precedence.
  void stop_keeping_connection(HostId host);

 private:
  class Probe final : StreamEvents, TimerEvents {
   public:
    explicit Probe(Probes& probes) : probes_(probes), stream_(probes.sockets_) {}
    void start(HostId host, const Address* address);
    void abort();
    void stop_keeping_connection();

   private:
    void connected(Stream&, ConnectResult result) override;
    void input_ready(Stream&) override;
    void writable(Stream&) override { send_remaining(); }
    void broken(Stream&) override;
    void timer_expired(std::uint64_t token) override;
    void send();
    void send_remaining();
    void finish(DialOutcome outcome, const LoadReport& report);

    Probes& probes_;
    Stream stream_;
    HostId host_;
    Address address_;
    Micros started_at_{0};
    Micros keep_from_{0};      // before this time, the connection is closed after each answer
    std::uint64_t token_ = 0;  // of the timer in force
    std::size_t sent_ = 0;
    bool pending_ = false;
    bool reused_ = false;  // the request went out on a connection kept from an earlier probe
  };

  Sockets& sockets_;
  TimerQueue& timers_;
  Micros timeout_;
  Events& events_;
  Slab<Probe> probes_;
  std::unordered_map<std::uint64_t, SlabKey> by_host_;
};

}  // namespace flintweir::line
