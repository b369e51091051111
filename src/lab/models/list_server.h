// Discovery on a network: HTTP/1.1 round a ListModel, one entry for each node.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/checks/checker.h"
#include "lab/models/line_io.h"
#include "lab/models/list_model.h"
#include "net/timer_queue.h"
#include "slab.h"

namespace flintweir::lab {

// How all acceptors of the service behave just now.
struct ListServiceState {
  bool unavailable = false, malformed = false;
  Micros response_delay{0};
  std::optional<Micros> reject_after;  // each call is held for so long, then answered 503
};

// The list, or its changes since a version, in discovery's form.
std::string list_json(const ListModel& list, std::uint64_t since, Micros now);

class ListServer final : net::AcceptEvents, net::TimerEvents {
 public:
  // Has been written out to the node at that time. Of a host that goes it is told a while later, where the
  // connection is still good.
  using Told = std::function<void(const ListModel::Entry&, Micros written)>;
  ListServer(net::Network& network, const ListModel& list, const ListServiceState& mood, Told told)
      : sockets_(network, 4096), timers_(network), list_(list), mood_(mood), told_(std::move(told)) {}

  void serve(const Address& at);  // throws std::system_error
  void refresh();                 // the list, or how it behaves
  void abort_all();

 private:
  struct Call final : net::StreamEvents {
    explicit Call(ListServer& s) : server(s), stream(s.sockets_), out(stream) {}
    void input_ready(net::Stream&) override { server.came(*this); }
    void writable(net::Stream&) override {
      if (!out.flush()) server.free(*this);
    }
    void broken(net::Stream&) override { server.free(*this); }
    ListServer& server;
    net::Stream stream;
    BufferedWriter out;
    SlabKey key;
    bool asked = false, watch = false, slowed = false;
    std::uint64_t since = 0;
    Micros until{0};
    std::vector<ListModel::Entry> written;  // and not known to have arrived
    Micros written_at{0};
  };
  void connection_pending() override;
  void timer_expired(std::uint64_t token) override;
  void came(Call& c);
  void look(Call& c);
  void answer(Call& c);
  void turn_away(Call& c);
  static std::uint64_t told_token(SlabKey key) { return key.packed() | std::uint64_t{1} << 28; }
  void free(Call& c);

  net::Sockets sockets_;
  net::TimerQueue timers_;
  const ListModel& list_;
  const ListServiceState& mood_;
  Told told_;
  Slab<Call> calls_;
};

}  // namespace flintweir::lab
