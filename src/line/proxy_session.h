// One client's connection with that to its host, and the module's handle on the session they make.
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

  void begin(SlabKey key, SocketKey socket);
  // What the module does.
  void dial(HostId host, Micros within);
  void answer(std::string_view line, Reason reason, std::optional<RefusalReason> refusal = {});
  void move(Reason why);
  bool movable() const { return open_ && !relay_.moving(); }
  void dial_holder();

 private:
  bool accepting_clients() const override;
  void on_first_line(std::string_view line) override;
  void on_client_left() override;
  void on_client_closed() override;
  void on_client_failed(Reason reason) override;
  bool confirm_dial() override;
  bool confirm_client_waiting() override;
  void on_host_accepted() override;
  void on_dial_ended(DialOutcome how) override;
  void on_host_load(double micros_per_s) override;
  void on_message_delay(Micros delay) override;
  void on_relay_ended(DialOutcome how, Reason why) override;
  void on_relay_closed() override;
  // The module knows only one dial of a connection that was open before.
  DialNo dial_no() const { return {inherited_ ? 0 : dials_ - 1}; }
  void free();
  // One line for each connection and each dial that ends; `refusal`: why the module gave no host.
  void log_end(const char* code, std::optional<RefusalReason> refusal = {});

  Sessions& sessions_;
  ClientConn client_;
  HostConn host_;
  Relay relay_;
  SlabKey key_;
  SessionHandle handle_;
  std::optional<ConnectionId> id_;  // while it is claimed
  LoggedId logged_id_;
  SessionRequest taken_{};
  std::string_view time_left_;
  HostId at_;
  Micros began_{0};
  std::uint32_t dials_ = 0;
  bool inherited_ = false, answered_ = false, open_ = false;
};

}  // namespace flintweir::line
