// The discovery service on a network: serves a ListModel over HTTP/1.1, one server for each node.
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

// The current behaviour of the service, shared by all its servers.
struct ListServiceState {
  bool unavailable = false, malformed = false;
  Micros response_delay{0};
  std::optional<Micros> reject_after;  // each call is answered 503 after this delay
};

// The list (`since` is 0) or its changes after version `since`, in the JSON format of discovery.
std::string list_json(const ListModel& list, std::uint64_t since, Micros now);

class ListServer final : net::AcceptEvents, net::TimerEvents {
 public:
  // Called for each entry sent to the node, with the time at which it was written. For hosts that drain or
  // are removed the call comes kDeliveryTime later, and only if the connection is still open then.
  using OnDelivered = std::function<void(const ListModel::Entry&, Micros written)>;
  ListServer(net::Network& network, const ListModel& list, const ListServiceState& state,
             OnDelivered on_delivered)
      : sockets_(network, 4096),
        timers_(network),
        list_(list),
        state_(state),
        on_delivered_(std::move(on_delivered)) {}

  void serve(const Address& at);  // throws std::system_error
  void refresh();                 // the list or the state of the service has changed
  void abort_all();               // resets all connections

 private:
  struct Connection final : net::StreamEvents {
    explicit Connection(ListServer& list_server)
        : server(list_server), stream(list_server.sockets_), writer(stream) {}
    void input_ready(net::Stream&) override { server.on_input(*this); }
    void writable(net::Stream&) override {
      if (!writer.flush()) server.release(*this);
    }
    void broken(net::Stream&) override { server.release(*this); }
    ListServer& server;
    net::Stream stream;
    BufferedWriter writer;
    SlabKey key;
    bool request_pending = false, watch = false;
    bool delay_over = false;  // the response delay has passed
    std::uint64_t since = 0;
    Micros watch_until{0};
    std::vector<ListModel::Entry> undelivered;  // written, but not yet passed to on_delivered_
    Micros written_at{0};
  };
  void connection_pending() override;
  void timer_expired(std::uint64_t token) override;
  void on_input(Connection& connection);
  void try_answer(Connection& connection);
  void send_list(Connection& connection);
  void reject(Connection& connection);
  static std::uint64_t delivery_token(SlabKey key) { return key.packed() | std::uint64_t{1} << 28; }
  void release(Connection& connection);

  net::Sockets sockets_;
  net::TimerQueue timers_;
  const ListModel& list_;
  const ListServiceState& state_;
  OnDelivered on_delivered_;
  Slab<Connection> connections_;
};

}  // namespace flintweir::lab
