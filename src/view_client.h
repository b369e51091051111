// Requests the membership view of one node from a process that is not a member of the fleet.
#pragma once

#include <optional>

#include "members/view_query.h"
#include "net/kernel_network.h"

namespace flintweir {

class ViewClient final : net::DatagramEvents {
 public:
  explicit ViewClient(const Address& node) : node_(node) {
    Address local;
    local.is_v6 = node.is_v6;
    network_.open_datagrams(local);
    network_.wait_datagram(*this);
  }
  // Blocks until the whole view is received. Sends each request up to three times, and returns null if one of
  // them gets no response. The result is valid until the next call.
  const members::ViewQuery* query() {
    using namespace std::chrono_literals;
    query_.emplace(static_cast<std::uint64_t>(network_.now().count()));
    complete_ = false;
    for (int unanswered = 0; unanswered < 3 && !complete_; ++unanswered) {
      answered_ = false;
      network_.send_datagram(node_, query_->next_request());
      const auto until = network_.now() + 500ms;
      while (!answered_ && network_.now() < until) network_.run_for(until - network_.now());
      if (answered_) unanswered = -1;
    }
    return complete_ ? &*query_ : nullptr;
  }

 private:
  void datagram_pending() override {
    char bytes[members::kMaxDatagramBytes + 1];
    for (;;) {
      const auto received = network_.receive(bytes, sizeof bytes);
      if (received.status == net::IoStatus::would_block) break;
      if (received.status != net::IoStatus::done || received.from != node_) continue;
      answered_ = true;
      complete_ = query_->received({bytes, received.bytes}) || complete_;
    }
    network_.wait_datagram(*this);
    network_.stop();
  }

  net::KernelNetwork network_;
  Address node_;
  bool answered_ = false, complete_ = false;
  std::optional<members::ViewQuery> query_;
};

}  // namespace flintweir
