// The operating system as a node uses it: sockets, the clock and one alarm. KernelNetwork implements it on
// the kernel, the lab implements it as a simulation, so that the same node code runs on both. No call blocks.
// Events are delivered from a later turn of the event loop, never from within a call. The event objects
// passed in have to outlive the events they wait for.
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
  refused,  // by the remote machine: no process listens there
  failed    // for another reason, which may lie with this machine or with the network
};

class SocketEvents {
 public:
  virtual void connected(ConnectResult result) = 0;
  virtual void readable(bool failed) = 0;  // once for each wait_read(); failed: the connection is lost
  virtual void writable(bool failed) = 0;  // once for each wait_write()

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
  IoStatus status = IoStatus::done;  // closed: the peer has shut down its sending direction
};

struct AcceptResult {
  SocketKey socket;
  // would_block: no connection is pending; closed: the pending connection was aborted by the client; failed:
  // see error.
  IoStatus status = IoStatus::done;
  const char* error = "";  // static, or valid until the next call
};

struct ReceiveResult {
  std::size_t bytes = 0;
  Address from;
  // would_block: no datagram is pending; failed: this datagram is lost, the next call may succeed.
  IoStatus status = IoStatus::done;
};

class Network {
 public:
  virtual ~Network() = default;

  // A monotonic clock that starts at the Unix time: it never steps, and is comparable with the start times
  // that hosts report.
  virtual Micros now() const = 0;
  // A monotonic clock with any origin that also counts while the machine is suspended: for leases, which
  // expire then as well.
  virtual Micros now_including_suspend() const { return now(); }
  // Sets the only alarm of this network, by the clock of now(). A later call replaces an earlier one.
  virtual void set_alarm(Micros at, AlarmEvents& events) = 0;

  // Listens at an address, and returns the address that is bound (port 0 selects a free port). Throws
  // std::system_error.
  virtual Address listen(const Address& at) = 0;
  virtual void wait_accept(AcceptEvents& events) = 0;
  virtual AcceptResult accept() = 0;

  // Starts to connect. Returns a key that is not valid (generation 0) if no file descriptor is left.
  virtual SocketKey connect(const Address& to, SocketEvents& events) = 0;
  // Sets the receiver of a socket's events; for sockets from accept().
  virtual void set_events(SocketKey socket, SocketEvents& events) = 0;
  virtual void wait_read(SocketKey socket) = 0;
  virtual void wait_write(SocketKey socket) = 0;
  virtual IoResult read(SocketKey socket, char* to, std::size_t size) = 0;
  virtual IoResult write(SocketKey socket, std::span<const std::string_view> parts) = 0;  // gathers the parts
  // Shuts down the sending direction; the socket can still be read.
  virtual void shutdown_send(SocketKey socket) = 0;
  virtual void close(SocketKey socket, bool reset) = 0;  // reset: with a TCP reset

  // Opens the datagram socket, one for each network. Throws std::system_error if the address can't be bound.
  // Any datagram may be lost, delayed, duplicated or corrupted; one that can't be sent is lost, which is not
  // reported as an error.
  virtual Address open_datagrams(const Address& at) = 0;
  virtual void wait_datagram(DatagramEvents& events) = 0;
  virtual ReceiveResult receive(char* to, std::size_t size) = 0;
  virtual void send_datagram(const Address& to, std::string_view bytes) = 0;

  virtual void stop() = 0;  // ends the event loop
};

}  // namespace flintweir::net
