#include "net/kernel_network.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio/bind_allocator.hpp>
#include <ctime>

namespace flintweir::net {
namespace {

using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

template <class Protocol>
typename Protocol::endpoint endpoint(const Address& a) {
  if (a.is_v6) return {asio::ip::address_v6(a.bytes), a.port};
  return {asio::ip::address_v4({a.bytes[0], a.bytes[1], a.bytes[2], a.bytes[3]}), a.port};
}

template <class Endpoint>
Address address(const Endpoint& e) {
  Address out;
  out.port = e.port();
  out.is_v6 = e.address().is_v6();
  if (out.is_v6) {
    out.bytes = e.address().to_v6().to_bytes();
  } else {
    const auto four = e.address().to_v4().to_bytes();
    std::copy(four.begin(), four.end(), out.bytes.begin());
  }
  return out;
}

bool not_now(std::error_code ec) { return ec == asio::error::would_block || ec == asio::error::interrupted; }

}  // namespace

void KernelNetwork::shut_down() {
  shut_down_ = true;
  std::error_code ignored;
  acceptor_.close(ignored);
  post_.close(ignored);
  timer_.cancel();
}

void KernelNetwork::handle_signals(std::initializer_list<int> numbers, std::function<void(int)> heard) {
  heard_ = std::move(heard);
  for (const int number : numbers) signals_.add(number);
  next_signal();
}

void KernelNetwork::next_signal() {
  signals_.async_wait([this](std::error_code ec, int number) {
    if (ec) return;
    heard_(number);
    next_signal();
  });
}

Micros KernelNetwork::now_including_suspend() const {
  std::timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return Micros{static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000};
}

Micros KernelNetwork::now() const {
  return std::chrono::duration_cast<Micros>(zero_ + (std::chrono::steady_clock::now() - began_));
}

void KernelNetwork::set_alarm(Micros at, AlarmEvents& whom) {
  timer_.expires_at(began_ + (at - zero_));
  timer_.async_wait([this, &whom](std::error_code ec) {
    if (!ec && !shut_down_) whom.alarm_expired();  // else it was set anew
  });
}

Address KernelNetwork::listen(const Address& at) {
  const Tcp::endpoint here = endpoint<Tcp>(at);
  acceptor_.open(here.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(here);
  acceptor_.listen(4096);
  acceptor_.non_blocking(true);
  return address(acceptor_.local_endpoint());
}

void KernelNetwork::wait_accept(AcceptEvents& whom) {
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this, &whom](std::error_code ec) {
    if (!ec && !shut_down_) whom.connection_pending();
  });
}

AcceptResult KernelNetwork::accept() {
  std::error_code ec;
  Socket socket(io_);
  acceptor_.accept(socket, ec);
  if (!ec) return {adopt(std::move(socket), nullptr)};
  if (ec == asio::error::would_block) return {{}, IoStatus::would_block};
  if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) return {{}, IoStatus::closed};
  why_ = ec.message();
  return {{}, IoStatus::failed, why_.c_str()};
}

SocketKey KernelNetwork::adopt(Socket socket, SocketEvents* whom) {
  std::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(Tcp::no_delay(true), ignored);
  // A client's machine that is gone says nothing: without this its place would be held for good.
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  for (const auto& [option, value] : {std::pair(TCP_KEEPIDLE, 30), {TCP_KEEPINTVL, 10}, {TCP_KEEPCNT, 3}}) {
    setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
  }
  const SocketKey key = sockets_.acquire(io_);
  Entry& entry = *sockets_.find(key);
  entry.socket = std::move(socket);
  entry.whom = whom;
  return key;
}

template <class Handler>
auto KernelNetwork::kept(Handler handler) {
  return asio::bind_allocator(HandlerAllocator<void>(memory_), std::move(handler));
}

ConnectResult KernelNetwork::result_of(std::error_code error) {
  if (!error) return ConnectResult::established;
  return error == asio::error::connection_refused ? ConnectResult::refused : ConnectResult::failed;
}

SocketKey KernelNetwork::connect(const Address& to, SocketEvents& whom) {
  const Tcp::endpoint there = endpoint<Tcp>(to);
  Socket socket(io_);
  std::error_code ec;
  socket.open(there.protocol(), ec);
  if (ec) return {};
  const SocketKey key = adopt(std::move(socket), &whom);
  sockets_.find(key)->socket.async_connect(there, kept([key](std::error_code error) {
                                             if (Entry* e = SlotPool<Entry>::find(key))
                                               e->whom->connected(result_of(error));
                                           }));
  return key;
}

Address KernelNetwork::open_datagrams(const Address& at) {
  const Udp::endpoint here = endpoint<Udp>(at);
  post_.open(here.protocol());
  post_.bind(here);
  post_.non_blocking(true);
  return address(post_.local_endpoint());
}

void KernelNetwork::wait_datagram(DatagramEvents& whom) {
  post_.async_wait(Udp::socket::wait_read, kept([this, &whom](std::error_code ec) {
                     if (!ec && !shut_down_) whom.datagram_pending();
                   }));
}

ReceiveResult KernelNetwork::receive(char* to, std::size_t size) {
  std::error_code ec;
  Udp::endpoint from;
  const std::size_t n = post_.receive_from(asio::buffer(to, size), from, 0, ec);
  if (ec) return {0, {}, not_now(ec) || !post_.is_open() ? IoStatus::would_block : IoStatus::failed};
  return {n, address(from), IoStatus::done};
}

void KernelNetwork::send_datagram(const Address& to, std::string_view bytes) {
  std::error_code ignored;
  if (post_.is_open()) post_.send_to(asio::buffer(bytes), endpoint<Udp>(to), 0, ignored);
}

void KernelNetwork::set_events(SocketKey socket, SocketEvents& whom) {
  if (Entry* e = sockets_.find(socket)) e->whom = &whom;
}

template <bool is_read>
void KernelNetwork::wait(SocketKey key) {
  Entry* const e = sockets_.find(key);
  if (!e) return;
  e->socket.async_wait(is_read ? Socket::wait_read : Socket::wait_write, kept([key](std::error_code ec) {
                         Entry* const here = SlotPool<Entry>::find(key);
                         if (!here) return;
                         if constexpr (is_read)
                           here->whom->readable(bool(ec));
                         else
                           here->whom->writable(bool(ec));
                       }));
}

void KernelNetwork::wait_read(SocketKey socket) { wait<true>(socket); }
void KernelNetwork::wait_write(SocketKey socket) { wait<false>(socket); }

IoResult KernelNetwork::read(SocketKey socket, char* to, std::size_t size) {
  Entry* const e = sockets_.find(socket);
  if (!e) return {0, IoStatus::failed};
  std::error_code ec;
  const std::size_t n = e->socket.read_some(asio::buffer(to, size), ec);
  if (!ec) return {n, IoStatus::done};
  if (not_now(ec)) return {0, IoStatus::would_block};
  return {0, ec == asio::error::eof ? IoStatus::closed : IoStatus::failed};
}

IoResult KernelNetwork::write(SocketKey socket, std::span<const std::string_view> parts) {
  Entry* const e = sockets_.find(socket);
  if (!e) return {0, IoStatus::failed};
  std::error_code ec;
  std::size_t n;
  if (parts.size() == 1) {
    n = e->socket.write_some(asio::buffer(parts[0]), ec);
  } else {
    std::array<asio::const_buffer, 4> buffers;
    const std::size_t count = std::min(parts.size(), buffers.size());
    for (std::size_t i = 0; i < count; ++i) buffers[i] = asio::buffer(parts[i]);
    n = e->socket.write_some(std::span(buffers.data(), count), ec);
  }
  if (!ec) return {n, IoStatus::done};
  return {0, not_now(ec) ? IoStatus::would_block : IoStatus::failed};
}

void KernelNetwork::shutdown_send(SocketKey socket) {
  std::error_code ignored;
  if (Entry* e = sockets_.find(socket)) e->socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void KernelNetwork::close(SocketKey socket, bool reset) {
  Entry* const e = sockets_.find(socket);
  if (!e) return;
  std::error_code ignored;
  if (reset) e->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  e->socket.close(ignored);
  sockets_.release(socket);
}

}  // namespace flintweir::net
