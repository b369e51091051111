// A network without connections, events or time. Serves to validate a configuration: a node is constructed on
// it as at a start, without effects on the system.
#pragma once

#include "net/network.h"

namespace flintweir::net {

class NullNetwork : public Network {
 public:
  Micros now() const override { return Micros{0}; }
  void set_alarm(Micros, AlarmEvents&) override {}
  Address listen(const Address& at) override { return at; }
  void wait_accept(AcceptEvents&) override {}
  AcceptResult accept() override { return {{}, IoStatus::would_block}; }
  SocketKey connect(const Address&, SocketEvents&) override { return {}; }
  void set_events(SocketKey, SocketEvents&) override {}
  void wait_read(SocketKey) override {}
  void wait_write(SocketKey) override {}
  IoResult read(SocketKey, char*, std::size_t) override { return {0, IoStatus::failed}; }
  IoResult write(SocketKey, std::span<const std::string_view>) override { return {0, IoStatus::failed}; }
  void shutdown_send(SocketKey) override {}
  void close(SocketKey, bool) override {}
  Address open_datagrams(const Address& at) override { return at; }
  void wait_datagram(DatagramEvents&) override {}
  ReceiveResult receive(char*, std::size_t) override { return {0, {}, IoStatus::would_block}; }
  void send_datagram(const Address&, std::string_view) override {}
  void stop() override {}
};

}  // namespace flintweir::net
