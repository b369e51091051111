#include "net/stream.h"

#include <netinet/tcp.h>

#include <asio/bind_allocator.hpp>

namespace flintweir::net {

void Stream::adopt(Tcp::socket socket, StreamEvents& events) {
  close();
  socket_.emplace(std::move(socket));
  sockets_.took();
  events_ = &events;
  std::error_code ignored;
  socket_->non_blocking(true, ignored);
  socket_->set_option(Tcp::no_delay(true), ignored);
  // A client's machine that is gone says nothing: without this its place would be held for good.
  socket_->set_option(asio::socket_base::keep_alive(true), ignored);
  for (const auto& [option, value] : {std::pair(TCP_KEEPIDLE, 30), {TCP_KEEPINTVL, 10}, {TCP_KEEPCNT, 3}}) {
    setsockopt(socket_->native_handle(), IPPROTO_TCP, option, &value, sizeof value);
  }
}

template <class Handler>
auto Stream::kept(Handler handler) {
  return asio::bind_allocator(HandlerAllocator<void>(sockets_.memory()), std::move(handler));
}

bool Stream::connect(const Tcp::endpoint& to, StreamEvents& events) {
  close();
  Tcp::socket socket(sockets_.io());
  std::error_code ec;
  socket.open(to.protocol(), ec);
  if (ec) return false;
  adopt(std::move(socket), events);
  socket_->async_connect(to, kept([this, use = use_](std::error_code failed) {
                           if (use == use_) events_->connected(*this, failed);
                         }));
  return true;
}

template <bool is_read>
void Stream::wait() {
  socket_->async_wait(is_read ? Tcp::socket::wait_read : Tcp::socket::wait_write,
                      kept([this, use = use_](std::error_code ec) {
                        if (use == use_) ready(is_read, ec);
                      }));
}

void Stream::want_read() {
  if (!socket_ || reading_ || at_end_ || in_.full()) return;
  reading_ = true;
  wait<true>();
}

void Stream::want_write() {
  if (!socket_ || writing_) return;
  writing_ = true;
  wait<false>();
}

void Stream::ready(bool is_read, std::error_code ec) {
  (is_read ? reading_ : writing_) = false;
  if (ec) return events_->broken(*this);
  if (is_read) return read();
  events_->writable(*this);
}

void Stream::read() {
  const auto [to, size] = in_.room();
  std::error_code ec;
  const std::size_t n = socket_->read_some(asio::buffer(to, size), ec);
  if (ec == asio::error::would_block || ec == asio::error::interrupted) return want_read();
  if (ec && ec != asio::error::eof) return events_->broken(*this);
  if (ec) at_end_ = true;
  in_.came(n);
  events_->came(*this);
}

std::optional<std::size_t> Stream::write(std::span<const asio::const_buffer> parts) {
  if (!socket_ || shut_) return std::nullopt;
  std::error_code ec;
  const std::size_t n = socket_->write_some(parts, ec);
  if (ec == asio::error::would_block || ec == asio::error::interrupted) return 0;
  if (ec) return std::nullopt;
  return n;
}

std::optional<std::size_t> Stream::write(std::string_view text) {
  const asio::const_buffer part(text.data(), text.size());
  return write(std::span(&part, 1));
}

void Stream::end_sending() {
  if (!socket_ || std::exchange(shut_, true)) return;
  std::error_code ignored;
  socket_->shutdown(Tcp::socket::shutdown_send, ignored);
}

void Stream::close() {
  ++use_;
  if (socket_) {
    std::error_code ignored;
    socket_->close(ignored);
    socket_.reset();
    sockets_.gave();
  }
  reading_ = writing_ = at_end_ = shut_ = false;
  in_.clear();
}

void Stream::abort() {
  std::error_code ignored;
  if (socket_) socket_->set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

}  // namespace flintweir::net
