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
  if (!open() || waiting_to_read_ || at_eof_ || input_.full()) return;
  waiting_to_read_ = true;
  sockets_.network().wait_read(socket_);
}

void Stream::want_write() {
  if (!open() || waiting_to_write_) return;
  waiting_to_write_ = true;
  sockets_.network().wait_write(socket_);
}

void Stream::readable(bool failed) {
  waiting_to_read_ = false;
  if (failed) return events_->broken(*this);
  read();
}

void Stream::writable(bool failed) {
  waiting_to_write_ = false;
  if (failed) return events_->broken(*this);
  events_->writable(*this);
}

void Stream::read() {
  const auto [to, size] = input_.free_space();
  const IoResult result = sockets_.network().read(socket_, to, size);
  if (result.status == IoStatus::would_block) return want_read();
  if (result.status == IoStatus::failed) return events_->broken(*this);
  if (result.status == IoStatus::closed) at_eof_ = true;
  input_.commit(result.bytes);
  events_->input_ready(*this);
}

bool Stream::read_available() {
  if (!open() || at_eof_) return false;
  if (input_.full()) return true;
  const auto [to, size] = input_.free_space();
  const IoResult result = sockets_.network().read(socket_, to, size);
  if (result.status == IoStatus::closed) at_eof_ = true;
  input_.commit(result.bytes);
  return result.status == IoStatus::done || result.status == IoStatus::would_block;
}

std::optional<std::size_t> Stream::write(std::span<const std::string_view> parts) {
  if (!open() || send_closed_) return std::nullopt;
  const IoResult result = sockets_.network().write(socket_, parts);
  if (result.status == IoStatus::failed) return std::nullopt;
  return result.bytes;
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
  waiting_to_read_ = waiting_to_write_ = at_eof_ = send_closed_ = false;
  input_.clear();
}

}  // namespace flintweir::net
