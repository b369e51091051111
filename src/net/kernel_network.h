// The kernel's sockets and clock behind Network, on one event loop (standalone Asio). Nothing else includes
// Asio. Reads and writes are plain non-blocking calls made when a socket is ready, so that it is always
// known exactly what the kernel has taken.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "net/handler_memory.h"
#include "net/network.h"

namespace flintweir::net {

class KernelNetwork final : public Network {
 public:
  KernelNetwork() : own_(std::make_unique<asio::io_context>(1)), io_(*own_) {}
  // On another's loop, which must outlive it: with sockets, an acceptor and an alarm of its own.
  explicit KernelNetwork(KernelNetwork& beside) : own_memory_(beside.own_memory_), io_(beside.io_) {}

  void run() { io_.run(); }  // until stop()
  // Runs what is ready within so long; for a caller with a loop of its own.
  void run_for(Micros within) {
    io_.restart();  // where it was stopped
    io_.run_for(within);
  }
  // Closes the acceptor and the datagrams and forgets the alarm, for good. Whoever is told of sockets has
  // closed them.
  void shut_down();
  // Calls heard(number) for each of these signals from now on.
  void handle_signals(std::initializer_list<int> numbers, std::function<void(int)> heard);

  Micros now() const override;
  Micros now_including_suspend() const override;
  void set_alarm(Micros at, AlarmEvents& whom) override;
  Address listen(const Address& at) override;
  void wait_accept(AcceptEvents& whom) override;
  AcceptResult accept() override;
  SocketKey connect(const Address& to, SocketEvents& whom) override;
  void set_events(SocketKey socket, SocketEvents& whom) override;
  void wait_read(SocketKey socket) override;
  void wait_write(SocketKey socket) override;
  IoResult read(SocketKey socket, char* to, std::size_t size) override;
  IoResult write(SocketKey socket, std::span<const std::string_view> parts) override;
  void shutdown_send(SocketKey socket) override;
  void close(SocketKey socket, bool reset) override;
  Address open_datagrams(const Address& at) override;
  void wait_datagram(DatagramEvents& whom) override;
  ReceiveResult receive(char* to, std::size_t size) override;
  void send_datagram(const Address& to, std::string_view bytes) override;
  void stop() override { io_.stop(); }

 private:
  // With the loop's own executor, which needs no type erased at each wait.
  using Executor = asio::io_context::executor_type;
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
  using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                           asio::wait_traits<std::chrono::steady_clock>, Executor>;
  struct Entry {
    explicit Entry(asio::io_context& io) : socket(io) {}
    Socket socket;
    SocketEvents* whom = nullptr;
  };
  template <class Handler>
  auto kept(Handler handler);  // with memory that is used again
  template <bool reading>
  void wait(SocketKey key);
  static ConnectResult result_of(std::error_code error);
  SocketKey adopt(Socket socket, SocketEvents* whom);
  void next_signal();

  // Outlives what is pending in the loop, whoever of those on it goes first.
  std::shared_ptr<HandlerMemory> own_memory_ = std::make_shared<HandlerMemory>();
  HandlerMemory& memory_ = *own_memory_;
  std::unique_ptr<asio::io_context> own_;
  asio::io_context& io_;
  std::chrono::system_clock::duration zero_ = std::chrono::system_clock::now().time_since_epoch();
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  Timer timer_{io_};
  asio::basic_socket_acceptor<asio::ip::tcp, Executor> acceptor_{io_};
  asio::basic_datagram_socket<asio::ip::udp, Executor> post_{io_};
  asio::signal_set signals_{io_};
  std::function<void(int)> heard_;
  bool shut_down_ = false;
  SlotPool<Entry> sockets_;
  std::string why_;
};

}  // namespace flintweir::net
