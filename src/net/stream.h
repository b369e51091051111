// One TCP connection with a callback object. Reads and writes are plain non-blocking calls made when the
// socket is ready, so that it is always known exactly what the kernel has taken, and nothing is held by a
// pending operation.
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
  virtual void input_ready(Stream& stream) = 0;  // new bytes are in, or the other side has ended its sending
  virtual void writable(Stream&) {}              // as asked for
  virtual void broken(Stream& stream) = 0;       // reset or lost; the stream is still to be closed

 protected:
  ~StreamEvents() = default;
};

// Lives at a place that is used again; no callback of an earlier use comes, as its socket is closed.
class Stream final : SocketEvents {
 public:
  explicit Stream(Sockets& sockets) : sockets_(sockets) {}
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void adopt(SocketKey socket, StreamEvents& events);
  bool connect(const Address& to, StreamEvents& events);  // false: no descriptor
  void set_events(StreamEvents& events) { events_ = &events; }

  bool open() const { return socket_.generation != 0; }
  bool at_eof() const { return at_eof_; }  // the other side has ended its sending
  bool send_closed() const { return send_closed_; }
  LineBuffer& input() { return input_; }

  void want_read();
  void read();  // what is there at once, else when it comes
  // Takes in what is there without a callback; false: the other side has ended its sending, or the connection
  // is broken, as far as can be seen behind what is held.
  bool read_available();
  // A kept connection that may be asked again: open, not ended, and nothing on it that nobody asked for.
  bool reusable() { return read_available() && input_.empty(); }
  void want_write();
  // What the kernel took of it; nothing where the connection is broken.
  std::optional<std::size_t> write(std::span<const std::string_view> parts);
  std::optional<std::size_t> write(std::string_view text);
  void shutdown_send();
  void close() { close(false); }
  void abort() { close(true); }  // with a reset

 private:
  void connected(ConnectResult result) override { events_->connected(*this, result); }
  void readable(bool broken) override;
  void writable(bool broken) override;
  void close(bool reset);

  Sockets& sockets_;
  SocketKey socket_;  // generation 0: none
  StreamEvents* events_ = nullptr;
  bool reading_ = false, writing_ = false, at_eof_ = false, send_closed_ = false;
  LineBuffer input_;
};

}  // namespace flintweir::net
