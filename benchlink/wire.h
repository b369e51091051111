// The simulator's wire: decodes each event straight into a call on its node's balancer or session handle,
// and writes what the balancer does. No decision is taken here, and no name of the wire goes further.
#pragma once

#include <memory>
#include <string_view>

namespace flintweir::benchlink {

class Wire {
 public:
  Wire();
  ~Wire();
  // One batch in, one reply out (without the line's end). Throws setup::InvalidInput on what the wire does
  // not allow.
  std::string_view answer(std::string_view batch);

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace flintweir::benchlink
