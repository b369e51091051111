// One session: the client's connection, the connection to its host, and the handle by which the balancer
// knows it.
#pragma once

#include "balance.h"
#include "line/client_conn.h"
#include "line/connection_ids.h"
#include "line/host_conn.h"
#include "line/relay.h"

namespace flintweir::line {

using namespace net;

class Sessions;

class ProxySession final : ClientConnEvents, HostConnEvents, RelayEvents {
 public:
  explicit ProxySession(Sessions& sessions);

  // Begins a new use of this object. Takes ownership of `socket`; `key` names the object in its table.
  void start(SlabKey key, SocketKey socket);
  // Decisions of the balancer. A `timeout` of zero means until the client gives up.
  void dial(HostId host, Micros timeout);
  void answer(std::string_view line, Reason reason, std::optional<RefusalReason> refusal = {});
  void move(Reason reason);
  void readiness_changed() { client_conn_.readiness_changed(); }
  bool movable() const { return relaying_ && !relay_.moving(); }
  // Dials the host that already holds the session, unless the client has been answered.
  void dial_current_host();

 private:
  Readiness readiness() const override;
  void on_first_line(std::string_view line) override;
  void on_client_left() override;
  void on_client_closed() override;
  void on_client_failed(Reason reason) override;
  bool confirm_dial() override;
  bool confirm_client_waiting() override;
  void on_host_accepted() override;
  void on_dial_ended(DialOutcome outcome) override;
  void on_host_load(double micros_per_s) override;
  void on_message_delay(Micros delay) override;
  void on_relay_ended(DialOutcome outcome, Reason reason) override;
  void on_relay_closed() override;
  // The balancer counts only one dial of a session that was open before this connection.
  DialNo dial_no() const { return {adopted_ ? 0 : dial_count_ - 1}; }
  void release();
  // Logs the end of a connection or a dial in one line. `refusal` is the balancer's reason for giving no
  // host.
  void log_end(const char* code, std::optional<RefusalReason> refusal = {});

  Sessions& sessions_;
  ClientConn client_conn_;
  HostConn host_conn_;
  Relay relay_;
  SlabKey key_;
  SessionHandle sess_;
  std::optional<ConnectionId> id_;  // set while it is claimed in Sessions
  bool id_sent_ = false;            // a host may have seen the id
  LoggedId logged_id_;
  SessionRequest request_{};
  std::string_view time_left_;  // digits within the first line, empty if it has none
  HostId host_id_;              // of the latest dial, or the host that already holds the session
  Micros started_at_{0};
  std::uint32_t dial_count_ = 0;
  bool adopted_ = false;  // the session was open before this connection
  bool answered_ = false, relaying_ = false;
};

}  // namespace flintweir::line
