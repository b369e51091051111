// Sockets at places that never move and are used again, found by a key that outlives them safely. Unlike in a
// slab a look-up is one comparison: it is made with each system call.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace flintweir::net {

// Names one socket for as long as it is open; a key that is over is never another's. Generation 0: none.
struct SocketKey {
  void* slot = nullptr;  // its network's own
  std::uint32_t generation = 0;
};

template <class T>
class SlotPool {
 public:
  template <class... Args>
  SocketKey acquire(Args&&... args) {
    if (free_.empty()) free_.push_back(&all_.emplace_back(std::forward<Args>(args)...));
    Slot* const slot = free_.back();
    free_.pop_back();
    slot->used = true;
    return {slot, ++slot->generation};
  }
  static T* find(SocketKey key) {
    Slot* const slot = static_cast<Slot*>(key.slot);
    return slot && slot->generation == key.generation && slot->used ? &slot->value : nullptr;
  }
  void release(SocketKey key) {
    if (!find(key)) return;
    Slot* const slot = static_cast<Slot*>(key.slot);
    slot->used = false;
    free_.push_back(slot);
  }
  // Calls visit(key, value) in the order in which places were first lent.
  template <class Visit>
  void for_each(Visit visit) {
    for (Slot& p : all_)
      if (p.used) visit(SocketKey{&p, p.generation}, p.value);
  }

 private:
  struct Slot {
    template <class... Args>
    explicit Slot(Args&&... args) : value(std::forward<Args>(args)...) {}
    T value;
    std::uint32_t generation = 0;
    bool used = false;
  };
  std::deque<Slot> all_;
  std::vector<Slot*> free_;
};

}  // namespace flintweir::net
