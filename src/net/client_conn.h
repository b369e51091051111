// A client's connection up to its session's acceptance: the first line, the answer, the end.
#pragma once

#include "net/log.h"
#include "net/stream.h"
#include "net/wakes.h"

namespace flintweir::net {

class ClientOwner {
 public:
  virtual bool taking() const = 0;   // whether fronts are told that this node takes clients
  virtual bool crowded() const = 0;  // no descriptor is to be held longer than it must
  virtual void head_came(std::string_view line) = 0;
  virtual void client_left() = 0;                 // after its first line, before any answer
  virtual void client_closed() = 0;               // all is over, the place may be used again
  virtual void client_failed(Reason reason) = 0;  // before a first line came; closes soon

 protected:
  ~ClientOwner() = default;
};

class ClientConn final : StreamEvents, Woken {
 public:
  ClientConn(Sockets& sockets, Wakes& wakes, Micros first_line_within, ClientOwner& owner)
      : stream_(sockets), wakes_(wakes), first_line_within_(first_line_within), owner_(owner) {}

  void begin(Tcp::socket socket);
  std::string_view head() const { return head_; }  // where it lies in the buffer
  // The final answer; the connection is closed once the client has had time to read it.
  void answer(std::string_view line);
  Stream& accepted();  // from now on another's

 private:
  enum class Phase { idle, head, waiting, lingering, given };
  void came(Stream&) override;
  void broken(Stream&) override;
  void woken(std::uint64_t token) override;
  void look_for_head();
  void fail();
  void close();

  Stream stream_;
  Wakes& wakes_;
  Micros first_line_within_;
  ClientOwner& owner_;
  Phase phase_ = Phase::idle;
  std::uint64_t token_ = 0;
  bool pinged_ = false;
  std::string_view head_;
};

inline constexpr Micros kLinger = std::chrono::seconds(1);  // for the other side to end as well

}  // namespace flintweir::net
