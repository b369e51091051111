// A host of the lab on a network: the platform's line protocol round a HostModel.
#pragma once

#include <deque>

#include "lab/checks/checker.h"
#include "lab/models/host_model.h"
#include "lab/models/line_io.h"
#include "lab/reports/event_log.h"
#include "net/timer_queue.h"
#include "slab.h"

namespace flintweir::lab {

// What a first line stands for, by the number that it gives.
struct SessionLoad {
  double load = 0;
  std::uint64_t group = 0;
};
class SessionRegistry {
 public:
  virtual const SessionLoad* find_session(SessionNo id) const = 0;

 protected:
  ~SessionRegistry() = default;
};

class HostServer final : net::AcceptEvents, net::TimerEvents {
 public:
  HostServer(net::Network& network, HostModel& model, HostNo no, std::string name,
             const SessionRegistry& known, Checker& checker, EventLog& log, const HostPlan& plan,
             const TrafficPlan& traffic, Micros tip_after, std::uint64_t seed);

  void serve(const Address& at);  // throws std::system_error
  void drain();                   // sends its clients away as the plan says
  void resume();                  // after it has hung
  void abort_all();               // breaks everything off

 private:
  struct Call final : net::StreamEvents {
    explicit Call(HostServer& h) : host(h), stream(h.sockets_), out(stream) {}
    void input_ready(net::Stream&) override { host.came(*this); }
    void writable(net::Stream&) override { host.written(*this); }
    void broken(net::Stream&) override { host.over(*this, false); }
    HostServer& host;
    net::Stream stream;
    BufferedWriter out;
    SlabKey key;
    enum class Phase { first, answering, open, leaving } phase = Phase::first;
    SessionNo session;
    HostDialNo call;
    HostModel::Answer answer = HostModel::Answer::nothing;
    double load = 0, told_load = 0;
    std::uint64_t group = 0;
    Micros loaded_at{0}, last_reply{0};
    std::deque<unsigned> replies;  // sizes
    unsigned said = 0;
  };
  enum class Due : std::uint64_t { answer, reply, leave, away, give_up };
  void connection_pending() override;
  void timer_expired(std::uint64_t token) override;
  static std::uint64_t token(SlabKey key, Due due) {
    return key.packed() | static_cast<std::uint64_t>(due) << 28;
  }
  void came(Call& c);
  void written(Call& c);
  void over(Call& c, bool cleanly);
  void first_line(Call& c, std::string_view line);
  void answer(Call& c);
  void reply(Call& c);
  void say(Call& c, const std::string& line);
  void send_away(Call& c);
  void leave(Call& c, Checker::CloseKind how, std::string_view last);
  void free(Call& c);

  net::Sockets sockets_;
  net::TimerQueue timers_;
  HostModel& model_;
  HostNo no_;
  std::string name_;
  const SessionRegistry& known_;
  Checker& checker_;
  EventLog& log_;
  const HostPlan& plan_;
  const TrafficPlan& traffic_;
  Micros tip_after_;
  std::knuth_b chance_;
  Slab<Call> calls_;
  std::uint64_t receipts_ = 0;
};

}  // namespace flintweir::lab
