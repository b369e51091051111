// The outside of a node at the level of system calls: sockets, the clock and one alarm. KernelNetwork gives
// the kernel's; the lab gives a virtual one, so that the same node runs in both. Calls never block. What is
// heard comes in a later turn, never from within a call.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "address.h"
#include "ids.h"
#include "net/slot_pool.h"

namespace flintweir::net {

enum class ConnectResult {
  established,
  refused,  // by the other machine: no process listens there
  failed    // not up, for another reason, which may lie with this machine or the network
};

class SocketEvents {
 public:
  virtual void connected(ConnectResult result) = 0;
  virtual void readable(bool broken) = 0;  // once for each wait_read()
  virtual void writable(bool broken) = 0;  // once for each wait_write()

 protected:
  ~SocketEvents() = default;
};

class AcceptEvents {
 public:
  virtual void connection_pending() = 0;  // once for each wait_accept()

 protected:
  ~AcceptEvents() = default;
};

class DatagramEvents {
 public:
  virtual void datagram_pending() = 0;  // once for each wait_datagram()

 protected:
  ~DatagramEvents() = default;
};

class AlarmEvents {
 public:
  virtual void alarm_expired() = 0;

 protected:
  ~AlarmEvents() = default;
};

enum class IoStatus { done, would_block, closed, failed };

struct IoResult {
  std::size_t bytes = 0;
  IoStatus status = IoStatus::done;
};

struct AcceptResult {
  SocketKey socket;
  IoStatus status = IoStatus::done;  // would_block: nobody waits; closed: whoever connection_waits has gone
                                     // again; failed: see error
  const char* error = "";            // static text, or good until the next call
};

struct ReceiveResult {
  std::size_t bytes = 0;
  Address from;
  IoStatus status =
      IoStatus::done;  // would_block: nothing waits; failed: this one is lost, the next may be well
};

class Network {
 public:
  virtual ~Network() = default;

  // Steady time that starts as Unix time, so that it never steps and is comparable with hosts' start times.
  virtual Micros now() const = 0;
  // Microseconds that go on while the machine sleeps, from any beginning: for leases, whose end comes all the
  // same.
  virtual Micros now_including_suspend() const { return now(); }
  // One alarm for each network: a later call takes the place of an earlier one.
  virtual void set_alarm(Micros at, AlarmEvents& whom) = 0;

  // Listens at an address and tells where (port 0 takes a free one). Throws std::system_error.
  virtual Address listen(const Address& at) = 0;
  virtual void wait_accept(AcceptEvents& whom) = 0;
  virtual AcceptResult accept() = 0;

  // Begins to connect; a key that is not live (generation 0) where no descriptor is left.
  virtual SocketKey connect(const Address& to, SocketEvents& whom) = 0;
  virtual void set_events(SocketKey socket,
                          SocketEvents& whom) = 0;  // whom an accepted socket's events go to
  virtual void wait_read(SocketKey socket) = 0;
  virtual void wait_write(SocketKey socket) = 0;
  virtual IoResult read(SocketKey socket, char* to, std::size_t size) = 0;
  virtual IoResult write(SocketKey socket, std::span<const std::string_view> parts) = 0;  // gathered
  virtual void shutdown_send(SocketKey socket) = 0;
  virtual void close(SocketKey socket, bool reset) = 0;

  // Datagrams, at one address for each network. Any may be lost, late, doubled or spoilt: one that cannot be
  // sent is lost, which is no error. Throws std::system_error where it can't have the address.
  virtual Address open_datagrams(const Address& at) = 0;
  virtual void wait_datagram(DatagramEvents& whom) = 0;
  virtual ReceiveResult receive(char* to, std::size_t size) = 0;
  virtual void send_datagram(const Address& to, std::string_view bytes) = 0;

  virtual void stop() = 0;  // ends the loop that calls all this
};

}  // namespace flintweir::net
