// The adapter to the simulator: translates its events into calls on balancers and session handles, and the
// balancers' actions into messages. Takes no decisions. The names of the simulator's protocol are used in
// this adapter only.
#pragma once

#include <memory>
#include <string_view>

namespace flintweir::benchlink {

// Hosts any number of balancer instances, which the events name by number.
class WireAdapter {
 public:
  WireAdapter();
  ~WireAdapter();
  // Processes one batch (a line of JSON) and returns the reply, without a line terminator; valid until the
  // next call. Throws setup::InvalidInput if the batch violates the protocol.
  std::string_view process(std::string_view batch);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flintweir::benchlink
