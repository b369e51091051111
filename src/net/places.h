// Sockets at places that never move and are used again, found by a key that outlives them safely. Unlike in a
// slab a look-up is one comparison: it is made with each system call.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace flintweir::net {

// Names one socket for as long as it is open; a key that is over is never another's. Turn 0: none.
struct SocketKey {
  void* place = nullptr;  // its network's own
  std::uint32_t turn = 0;
};

template <class T>
class Places {
 public:
  template <class... Args>
  SocketKey lend(Args&&... args) {
    if (free_.empty()) free_.push_back(&all_.emplace_back(std::forward<Args>(args)...));
    Place* const place = free_.back();
    free_.pop_back();
    place->used = true;
    return {place, ++place->turn};
  }
  static T* find(SocketKey key) {
    Place* const place = static_cast<Place*>(key.place);
    return place && place->turn == key.turn && place->used ? &place->value : nullptr;
  }
  void drop(SocketKey key) {
    if (!find(key)) return;
    Place* const place = static_cast<Place*>(key.place);
    place->used = false;
    free_.push_back(place);
  }
  // Calls visit(key, value) in the order in which places were first lent.
  template <class Visit>
  void each(Visit visit) {
    for (Place& p : all_)
      if (p.used) visit(SocketKey{&p, p.turn}, p.value);
  }

 private:
  struct Place {
    template <class... Args>
    explicit Place(Args&&... args) : value(std::forward<Args>(args)...) {}
    T value;
    std::uint32_t turn = 0;
    bool used = false;
  };
  std::deque<Place> all_;
  std::vector<Place*> free_;
};

}  // namespace flintweir::net
