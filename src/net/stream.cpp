#include "net/stream.h"

#include <utility>

namespace flintweir::net {

void Stream::adopt(SocketKey socket, StreamEvents& events) {
  close();
  socket_ = socket;
  sockets_.count_opened();
  events_ = &events;
  sockets_.network().set_events(socket, *this);
}

bool Stream::connect(const Address& to, StreamEvents& events) {
  close();
  const SocketKey socket = sockets_.network().connect(to, *this);
  if (socket.generation == 0) return false;
  socket_ = socket;
  sockets_.count_opened();
  events_ = &events;
  return true;
}

void Stream::want_read() {
  if (!open() || reading_ || at_eof_ || input_.full()) return;
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
  const auto [to, size] = input_.free_space();
  const IoResult got = sockets_.network().read(socket_, to, size);
  if (got.status == IoStatus::would_block) return want_read();
  if (got.status == IoStatus::failed) return events_->broken(*this);
  if (got.status == IoStatus::closed) at_eof_ = true;
  input_.commit(got.bytes);
  events_->input_ready(*this);
}

bool Stream::read_available() {
  if (!open() || at_eof_) return false;
  if (input_.full()) return true;
  const auto [to, size] = input_.free_space();
  const IoResult got = sockets_.network().read(socket_, to, size);
  if (got.status == IoStatus::closed) at_eof_ = true;
  input_.commit(got.bytes);
  return got.status == IoStatus::done || got.status == IoStatus::would_block;
}

std::optional<std::size_t> Stream::write(std::span<const std::string_view> parts) {
  if (!open() || send_closed_) return std::nullopt;
  const IoResult taken = sockets_.network().write(socket_, parts);
  if (taken.status == IoStatus::failed) return std::nullopt;
  return taken.bytes;
}

std::optional<std::size_t> Stream::write(std::string_view text) { return write(std::span(&text, 1)); }

void Stream::shutdown_send() {
  if (!open() || std::exchange(send_closed_, true)) return;
  sockets_.network().shutdown_send(socket_);
}

void Stream::close(bool reset) {
  if (open()) {
    sockets_.network().close(std::exchange(socket_, {}), reset);
    sockets_.count_closed();
  }
  reading_ = writing_ = at_eof_ = send_closed_ = false;
  input_.clear();
}

}  // namespace flintweir::net
