// A TCP connection that reports its events to a callback object. Reads and writes are non-blocking calls made
// when the socket is ready. So it is known exactly how many bytes the kernel has taken, and no pending
// operation holds a buffer.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "net/line_buffer.h"
#include "net/sockets.h"

namespace flintweir::net {

class Stream;

class StreamEvents {
 public:
  virtual void connected(Stream&, ConnectResult) {}
  // New bytes are buffered, or the peer has shut down its sending direction (see at_eof()).
  virtual void input_ready(Stream& stream) = 0;
  virtual void writable(Stream&) {}  // once for each want_write()
  virtual void broken(
      Stream& stream) = 0;  // the connection was reset or lost; the owner still has to close it

 protected:
  ~StreamEvents() = default;
};

// May be reused for another connection after close(). No event of the previous connection is delivered then.
class Stream final : SocketEvents {
 public:
  // `sockets` has to outlive the stream.
  explicit Stream(Sockets& sockets) : sockets_(sockets) {}
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Takes over an accepted socket.
  void adopt(SocketKey socket, StreamEvents& events);
  // Starts to connect; false: no file descriptor is left.
  bool connect(const Address& to, StreamEvents& events);
  void set_events(StreamEvents& events) { events_ = &events; }

  bool open() const { return socket_.generation != 0; }
  bool at_eof() const { return at_eof_; }            // the peer has shut down its sending direction
  bool send_closed() const { return send_closed_; }  // shutdown_send() was called
  LineBuffer& input() { return input_; }

  // Asks for input_ready(), unless the input has ended or its buffer is full.
  void want_read();
  // Reads now and calls input_ready(), or waits for bytes where there are none.
  void read();
  // Reads now without a callback. False: the peer has shut down its sending direction, or the connection is
  // broken. Neither shows while the buffer is full, or while there are earlier bytes to read.
  bool read_available();
  // Whether a persistent connection can carry another request: it is open, has not ended, and holds no
  // unrequested bytes.
  bool reusable() { return read_available() && input_.empty(); }
  void want_write();
  // Returns the number of bytes that the kernel took; empty if the connection is broken or closed for
  // sending.
  std::optional<std::size_t> write(std::span<const std::string_view> parts);
  std::optional<std::size_t> write(std::string_view text);
  void shutdown_send();
  void close() { close(false); }
  void abort() { close(true); }  // with a TCP reset

 private:
  void connected(ConnectResult result) override { events_->connected(*this, result); }
  void readable(bool failed) override;
  void writable(bool failed) override;
  void close(bool reset);

  Sockets& sockets_;
  SocketKey socket_;  // generation 0: none
  StreamEvents* events_ = nullptr;
  bool waiting_to_read_ = false, waiting_to_write_ = false, at_eof_ = false, send_closed_ = false;
  LineBuffer input_;
};

}  // namespace flintweir::net
