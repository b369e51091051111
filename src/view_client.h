// Asks one node for its view of the fleet, as somebody who is no member: each question up to three times.
#pragma once

#include <optional>

#include "members/view_query.h"
#include "net/kernel_network.h"

namespace flintweir {

class ViewClient final : net::DatagramEvents {
 public:
  explicit ViewClient(const Address& at) : at_(at) {
    Address here;
    here.is_v6 = at.is_v6;
    network_.open_datagrams(here);
    network_.wait_datagram(*this);
  }
  // Nothing: nobody answers, or not to the end.
  const members::ViewQuery* ask() {
    using namespace std::chrono_literals;
    asker_.emplace(static_cast<std::uint64_t>(network_.now().count()));
    whole_ = false;
    for (int silent = 0; silent < 3 && !whole_; ++silent) {
      answered_ = false;
      network_.send_datagram(at_, asker_->next_request());
      const auto until = network_.now() + 500ms;
      while (!answered_ && network_.now() < until) network_.run_for(until - network_.now());
      if (answered_) silent = -1;
    }
    return whole_ ? &*asker_ : nullptr;
  }

 private:
  void datagram_pending() override {
    char bytes[members::kMaxDatagramBytes + 1];
    for (;;) {
      const auto got = network_.receive(bytes, sizeof bytes);
      if (got.status == net::IoStatus::would_block) break;
      if (got.status != net::IoStatus::done || got.from != at_) continue;
      answered_ = true;
      whole_ = asker_->received({bytes, got.bytes}) || whole_;
    }
    network_.wait_datagram(*this);
    network_.stop();
  }

  net::KernelNetwork network_;
  Address at_;
  bool answered_ = false, whole_ = false;
  std::optional<members::ViewQuery> asker_;
};

}  // namespace flintweir
