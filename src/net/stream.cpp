#include "net/stream.h"

#include <utility>

namespace flintweir::net {

void Stream::adopt(SocketKey socket, StreamEvents& events) {
  close();
  socket_ = socket;
  sockets_.took();
  events_ = &events;
  sockets_.network().tell(socket, *this);
}

bool Stream::connect(const Address& to, StreamEvents& events) {
  close();
  const SocketKey socket = sockets_.network().connect(to, *this);
  if (socket.turn == 0) return false;
  socket_ = socket;
  sockets_.took();
  events_ = &events;
  return true;
}

void Stream::want_read() {
  if (!open() || reading_ || at_end_ || in_.full()) return;
  reading_ = true;
  sockets_.network().wait_read(socket_);
}

void Stream::want_write() {
  if (!open() || writing_) return;
  writing_ = true;
  sockets_.network().wait_write(socket_);
}

void Stream::readable(bool broken) {
  reading_ = false;
  if (broken) return events_->broken(*this);
  read();
}

void Stream::writable(bool broken) {
  writing_ = false;
  if (broken) return events_->broken(*this);
  events_->writable(*this);
}

void Stream::read() {
  const auto [to, size] = in_.room();
  const Passed got = sockets_.network().read(socket_, to, size);
  if (got.how == Io::later) return want_read();
  if (got.how == Io::broken) return events_->broken(*this);
  if (got.how == Io::ended) at_end_ = true;
  in_.came(got.bytes);
  events_->came(*this);
}

bool Stream::look() {
  if (!open() || at_end_) return false;
  if (in_.full()) return true;
  const auto [to, size] = in_.room();
  const Passed got = sockets_.network().read(socket_, to, size);
  if (got.how == Io::ended) at_end_ = true;
  in_.came(got.bytes);
  return got.how == Io::done || got.how == Io::later;
}

std::optional<std::size_t> Stream::write(std::span<const std::string_view> parts) {
  if (!open() || shut_) return std::nullopt;
  const Passed taken = sockets_.network().write(socket_, parts);
  if (taken.how == Io::broken) return std::nullopt;
  return taken.bytes;
}

std::optional<std::size_t> Stream::write(std::string_view text) { return write(std::span(&text, 1)); }

void Stream::end_sending() {
  if (!open() || std::exchange(shut_, true)) return;
  sockets_.network().end_sending(socket_);
}

void Stream::close(bool reset) {
  if (open()) {
    sockets_.network().close(std::exchange(socket_, {}), reset);
    sockets_.gave();
  }
  reading_ = writing_ = at_end_ = shut_ = false;
  in_.clear();
}

}  // namespace flintweir::net
