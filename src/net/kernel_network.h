// Network on the kernel's sockets and clocks, with an event loop of standalone Asio. No other file includes
// Asio. Reads and writes are non-blocking calls made when a socket is ready, so that it is known exactly how
// many bytes the kernel has taken.
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
  KernelNetwork() : own_io_(std::make_unique<asio::io_context>(1)), io_(*own_io_) {}
  // Shares the event loop of another network, which has to outlive this one; with its own sockets, acceptor
  // and alarm.
  explicit KernelNetwork(KernelNetwork& other) : handler_memory_(other.handler_memory_), io_(other.io_) {}

  void run() { io_.run(); }  // until stop()
  // Handles events for this time, or until stop(); for a caller with its own loop.
  void run_for(Micros duration) {
    io_.restart();  // after an earlier stop()
    io_.run_for(duration);
  }
  // Closes the acceptor and the datagram socket and cancels the alarm, permanently. The owners of the other
  // sockets have to close them before.
  void shut_down();
  // From now on calls handler(number) from the event loop for each of these signals.
  void handle_signals(std::initializer_list<int> numbers, std::function<void(int)> handler);

  Micros now() const override;
  Micros now_including_suspend() const override;
  void set_alarm(Micros at, AlarmEvents& events) override;
  Address listen(const Address& at) override;
  void wait_accept(AcceptEvents& events) override;
  AcceptResult accept() override;
  SocketKey connect(const Address& to, SocketEvents& events) override;
  void set_events(SocketKey socket, SocketEvents& events) override;
  void wait_read(SocketKey socket) override;
  void wait_write(SocketKey socket) override;
  IoResult read(SocketKey socket, char* to, std::size_t size) override;
  IoResult write(SocketKey socket, std::span<const std::string_view> parts) override;
  void shutdown_send(SocketKey socket) override;
  void close(SocketKey socket, bool reset) override;
  Address open_datagrams(const Address& at) override;
  void wait_datagram(DatagramEvents& events) override;
  ReceiveResult receive(char* to, std::size_t size) override;
  void send_datagram(const Address& to, std::string_view bytes) override;
  void stop() override { io_.stop(); }

 private:
  // The executor of io_context itself: the default any_io_executor would add type erasure to each wait.
  using Executor = asio::io_context::executor_type;
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
  using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                           asio::wait_traits<std::chrono::steady_clock>, Executor>;
  struct Entry {
    explicit Entry(asio::io_context& io) : socket(io) {}
    Socket socket;
    SocketEvents* events = nullptr;
  };
  // Binds the handler to the pooled memory.
  template <class Handler>
  auto with_pooled_memory(Handler handler);
  template <bool is_read>
  void wait(SocketKey key);
  static ConnectResult connect_result(std::error_code error);
  SocketKey add_socket(Socket socket, SocketEvents* events);
  void wait_signal();

  // Shared by all networks on one event loop, as it has to outlive the handlers pending there, whichever
  // network is destroyed first.
  std::shared_ptr<HandlerMemory> handler_memory_ = std::make_shared<HandlerMemory>();
  HandlerMemory& memory_ = *handler_memory_;
  std::unique_ptr<asio::io_context> own_io_;
  asio::io_context& io_;
  std::chrono::system_clock::duration start_unix_time_ = std::chrono::system_clock::now().time_since_epoch();
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  Timer alarm_{io_};
  asio::basic_socket_acceptor<asio::ip::tcp, Executor> acceptor_{io_};
  asio::basic_datagram_socket<asio::ip::udp, Executor> datagram_socket_{io_};
  asio::signal_set signals_{io_};
  std::function<void(int)> signal_handler_;
  bool shut_down_ = false;
  SlotPool<Entry> sockets_;
  std::string accept_error_;
};

}  // namespace flintweir::net
