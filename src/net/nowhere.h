// A network that leads nowhere and on which nothing ever happens: for reading a configuration as a start
// would.
#pragma once

#include "net/network.h"

namespace flintweir::net {

class Nowhere : public Network {
 public:
  Micros now() const override { return Micros{0}; }
  void ring(Micros, Alarm&) override {}
  Address listen(const Address& at) override { return at; }
  void wait_accept(AcceptEvents&) override {}
  Accepted accept() override { return {{}, Io::later}; }
  SocketKey connect(const Address&, SocketEvents&) override { return {}; }
  void tell(SocketKey, SocketEvents&) override {}
  void wait_read(SocketKey) override {}
  void wait_write(SocketKey) override {}
  Passed read(SocketKey, char*, std::size_t) override { return {0, Io::broken}; }
  Passed write(SocketKey, std::span<const std::string_view>) override { return {0, Io::broken}; }
  void end_sending(SocketKey) override {}
  void close(SocketKey, bool) override {}
  Address open_datagrams(const Address& at) override { return at; }
  void wait_datagram(DatagramEvents&) override {}
  Received receive(char*, std::size_t) override { return {0, {}, Io::later}; }
  void send_datagram(const Address&, std::string_view) override {}
  void stop() override {}
};

}  // namespace flintweir::net
