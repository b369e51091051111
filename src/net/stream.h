// One TCP connection with a callback object. Reads and writes are plain non-blocking calls made when the
// socket is ready, so that it is always known exactly what the kernel has taken, and nothing is held by a
// pending operation.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <span>

#include "net/line_buffer.h"
#include "net/sockets.h"

namespace flintweir::net {

using Tcp = asio::ip::tcp;

class Stream;

class StreamEvents {
 public:
  virtual void connected(Stream&, std::error_code) {}
  virtual void came(Stream& stream) = 0;    // new bytes are in, or the other side has ended its sending
  virtual void writable(Stream&) {}         // as asked for
  virtual void broken(Stream& stream) = 0;  // reset or lost; the stream is still to be closed

 protected:
  ~StreamEvents() = default;
};

// Lives at a place that outlives all callbacks; a callback of an earlier use of the place is dropped.
class Stream {
 public:
  explicit Stream(Sockets& sockets) : sockets_(sockets) {}
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void adopt(Tcp::socket socket, StreamEvents& events);
  bool connect(const Tcp::endpoint& to, StreamEvents& events);  // false: no descriptor
  void hand_to(StreamEvents& events) { events_ = &events; }

  bool open() const { return socket_.has_value(); }
  bool at_end() const { return at_end_; }  // the other side has ended its sending
  bool shut() const { return shut_; }
  LineBuffer& in() { return in_; }

  void want_read();
  void read();  // what is there at once, else when it comes
  void want_write();
  // What the kernel took of it; nothing where the connection is broken.
  std::optional<std::size_t> write(std::span<const asio::const_buffer> parts);
  std::optional<std::size_t> write(std::string_view text);
  void end_sending();
  void close();
  void abort();  // with a reset

 private:
  void ready(bool reading, std::error_code ec);
  template <class Handler>
  auto kept(Handler handler);  // with memory that is used again
  template <bool reading>
  void wait();

  Sockets& sockets_;
  std::optional<Tcp::socket> socket_;
  StreamEvents* events_ = nullptr;
  std::uint64_t use_ = 0;
  bool reading_ = false, writing_ = false, at_end_ = false, shut_ = false;
  LineBuffer in_;
};

}  // namespace flintweir::net
