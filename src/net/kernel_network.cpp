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
typename Protocol::endpoint to_endpoint(const Address& a) {
  if (a.is_v6) return {asio::ip::address_v6(a.bytes), a.port};
  return {asio::ip::address_v4({a.bytes[0], a.bytes[1], a.bytes[2], a.bytes[3]}), a.port};
}

template <class Endpoint>
Address to_address(const Endpoint& endpoint) {
  Address out;
  out.port = endpoint.port();
  out.is_v6 = endpoint.address().is_v6();
  if (out.is_v6) {
    out.bytes = endpoint.address().to_v6().to_bytes();
  } else {
    const auto v4 = endpoint.address().to_v4().to_bytes();
    std::copy(v4.begin(), v4.end(), out.bytes.begin());
  }
  return out;
}

constexpr int kListenBacklog = 4096;                         // connections
constexpr int kKeepaliveIdle = 30, kKeepaliveInterval = 10;  // seconds
constexpr int kKeepaliveProbes = 3;
constexpr std::size_t kMaxParts = 4;  // of one gathered write

bool try_again(std::error_code ec) {
  return ec == asio::error::would_block || ec == asio::error::interrupted;
}

}  // namespace

void KernelNetwork::shut_down() {
  shut_down_ = true;
  std::error_code ignored;
  acceptor_.close(ignored);
  datagram_socket_.close(ignored);
  alarm_.cancel();
}

void KernelNetwork::handle_signals(std::initializer_list<int> numbers, std::function<void(int)> handler) {
  signal_handler_ = std::move(handler);
  for (const int number : numbers) signals_.add(number);
  wait_signal();
}

void KernelNetwork::wait_signal() {
  signals_.async_wait([this](std::error_code ec, int number) {
    if (ec) return;
    signal_handler_(number);
    wait_signal();
  });
}

Micros KernelNetwork::now_including_suspend() const {
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Micros{static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000};
}

Micros KernelNetwork::now() const {
  return std::chrono::duration_cast<Micros>(start_unix_time_ + (std::chrono::steady_clock::now() - start_));
}

void KernelNetwork::set_alarm(Micros at, AlarmEvents& events) {
  alarm_.expires_at(start_ + (at - start_unix_time_));
  alarm_.async_wait([this, &events](std::error_code ec) {
    if (!ec && !shut_down_) events.alarm_expired();  // otherwise a later set_alarm() has replaced it
  });
}

Address KernelNetwork::listen(const Address& at) {
  const Tcp::endpoint local = to_endpoint<Tcp>(at);
  acceptor_.open(local.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(local);
  acceptor_.listen(kListenBacklog);
  acceptor_.non_blocking(true);
  return to_address(acceptor_.local_endpoint());
}

void KernelNetwork::wait_accept(AcceptEvents& events) {
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this, &events](std::error_code ec) {
    if (!ec && !shut_down_) events.connection_pending();
  });
}

AcceptResult KernelNetwork::accept() {
  std::error_code ec;
  Socket socket(io_);
  acceptor_.accept(socket, ec);
  if (!ec) return {add_socket(std::move(socket), nullptr)};
  if (ec == asio::error::would_block) return {{}, IoStatus::would_block};
  if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) return {{}, IoStatus::closed};
  accept_error_ = ec.message();
  return {{}, IoStatus::failed, accept_error_.c_str()};
}

SocketKey KernelNetwork::add_socket(Socket socket, SocketEvents* events) {
  std::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(Tcp::no_delay(true), ignored);
  // A client machine that fails sends nothing: without keepalive its connection would be held forever.
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  for (const auto& [option, value] : {std::pair(TCP_KEEPIDLE, kKeepaliveIdle),
                                      {TCP_KEEPINTVL, kKeepaliveInterval},
                                      {TCP_KEEPCNT, kKeepaliveProbes}}) {
    setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
  }
  const SocketKey key = sockets_.acquire(io_);
  Entry& entry = *sockets_.find(key);
  entry.socket = std::move(socket);
  entry.events = events;
  return key;
}

template <class Handler>
auto KernelNetwork::with_pooled_memory(Handler handler) {
  return asio::bind_allocator(HandlerAllocator<void>(memory_), std::move(handler));
}

ConnectResult KernelNetwork::connect_result(std::error_code error) {
  if (!error) return ConnectResult::established;
  return error == asio::error::connection_refused ? ConnectResult::refused : ConnectResult::failed;
}

SocketKey KernelNetwork::connect(const Address& to, SocketEvents& events) {
  const Tcp::endpoint remote = to_endpoint<Tcp>(to);
  Socket socket(io_);
  std::error_code ec;
  socket.open(remote.protocol(), ec);
  if (ec) return {};
  const SocketKey key = add_socket(std::move(socket), &events);
  sockets_.find(key)->socket.async_connect(remote, with_pooled_memory([key](std::error_code error) {
                                             if (Entry* entry = SlotPool<Entry>::find(key))
                                               entry->events->connected(connect_result(error));
                                           }));
  return key;
}

Address KernelNetwork::open_datagrams(const Address& at) {
  const Udp::endpoint local = to_endpoint<Udp>(at);
  datagram_socket_.open(local.protocol());
  datagram_socket_.bind(local);
  datagram_socket_.non_blocking(true);
  return to_address(datagram_socket_.local_endpoint());
}

void KernelNetwork::wait_datagram(DatagramEvents& events) {
  datagram_socket_.async_wait(Udp::socket::wait_read, with_pooled_memory([this, &events](std::error_code ec) {
                                if (!ec && !shut_down_) events.datagram_pending();
                              }));
}

ReceiveResult KernelNetwork::receive(char* to, std::size_t size) {
  std::error_code ec;
  Udp::endpoint from;
  const std::size_t n = datagram_socket_.receive_from(asio::buffer(to, size), from, 0, ec);
  if (ec)
    return {0, {}, try_again(ec) || !datagram_socket_.is_open() ? IoStatus::would_block : IoStatus::failed};
  return {n, to_address(from), IoStatus::done};
}

void KernelNetwork::send_datagram(const Address& to, std::string_view bytes) {
  std::error_code ignored;
  if (datagram_socket_.is_open())
    datagram_socket_.send_to(asio::buffer(bytes), to_endpoint<Udp>(to), 0, ignored);
}

void KernelNetwork::set_events(SocketKey socket, SocketEvents& events) {
  if (Entry* entry = sockets_.find(socket)) entry->events = &events;
}

template <bool is_read>
void KernelNetwork::wait(SocketKey key) {
  Entry* const entry = sockets_.find(key);
  if (!entry) return;
  entry->socket.async_wait(is_read ? Socket::wait_read : Socket::wait_write,
                           with_pooled_memory([key](std::error_code ec) {
                             Entry* const entry = SlotPool<Entry>::find(key);
                             if (!entry) return;
                             if constexpr (is_read)
                               entry->events->readable(bool(ec));
                             else
                               entry->events->writable(bool(ec));
                           }));
}

void KernelNetwork::wait_read(SocketKey socket) { wait<true>(socket); }
void KernelNetwork::wait_write(SocketKey socket) { wait<false>(socket); }

IoResult KernelNetwork::read(SocketKey socket, char* to, std::size_t size) {
  Entry* const entry = sockets_.find(socket);
  if (!entry) return {0, IoStatus::failed};
  std::error_code ec;
  const std::size_t n = entry->socket.read_some(asio::buffer(to, size), ec);
  if (!ec) return {n, IoStatus::done};
  if (try_again(ec)) return {0, IoStatus::would_block};
  return {0, ec == asio::error::eof ? IoStatus::closed : IoStatus::failed};
}

IoResult KernelNetwork::write(SocketKey socket, std::span<const std::string_view> parts) {
  Entry* const entry = sockets_.find(socket);
  if (!entry) return {0, IoStatus::failed};
  std::error_code ec;
  std::size_t n;
  if (parts.size() == 1) {
    n = entry->socket.write_some(asio::buffer(parts[0]), ec);
  } else {
    std::array<asio::const_buffer, kMaxParts> buffers;
    const std::size_t count = std::min(parts.size(), buffers.size());
    for (std::size_t i = 0; i < count; ++i) buffers[i] = asio::buffer(parts[i]);
    n = entry->socket.write_some(std::span(buffers.data(), count), ec);
  }
  if (!ec) return {n, IoStatus::done};
  return {0, try_again(ec) ? IoStatus::would_block : IoStatus::failed};
}

void KernelNetwork::shutdown_send(SocketKey socket) {
  std::error_code ignored;
  if (Entry* entry = sockets_.find(socket)) entry->socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void KernelNetwork::close(SocketKey socket, bool reset) {
  Entry* const entry = sockets_.find(socket);
  if (!entry) return;
  std::error_code ignored;
  if (reset) entry->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  entry->socket.close(ignored);
  sockets_.release(socket);
}

}  // namespace flintweir::net
