// A pool of objects with stable addresses, found by keys that detect reuse. Unlike in a Slab, a lookup takes
// one comparison and no index check: it is done for each system call.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace flintweir::net {

// Identifies one socket while it is open. A key of a closed socket never matches another socket. Generation
// 0: no socket.
struct SocketKey {
  void* slot = nullptr;  // owned by the network that returned the key
  std::uint32_t generation = 0;
};

// Values stay in their slots after release, and are reused by a later acquire() in the state they were left
// in. Keys must not be used after the pool is destroyed.
template <class T>
class SlotPool {
 public:
  // Takes a free slot. `args` construct the value of a new slot only.
  template <class... Args>
  SocketKey acquire(Args&&... args) {
    if (free_.empty()) free_.push_back(&slots_.emplace_back(std::forward<Args>(args)...));
    Slot* const slot = free_.back();
    free_.pop_back();
    slot->used = true;
    return {slot, ++slot->generation};
  }
  // Null where the key's slot was released.
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
  // Calls visit(key, value) for each slot in use, in the order in which the slots were created.
  template <class Visit>
  void for_each(Visit visit) {
    for (Slot& slot : slots_)
      if (slot.used) visit(SocketKey{&slot, slot.generation}, slot.value);
  }

 private:
  struct Slot {
    template <class... Args>
    explicit Slot(Args&&... args) : value(std::forward<Args>(args)...) {}
    T value;
    std::uint32_t generation = 0;
    bool used = false;
  };
  std::deque<Slot> slots_;
  std::vector<Slot*> free_;
};

}  // namespace flintweir::net
