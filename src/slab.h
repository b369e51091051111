// Values at reused places that never move. A key outlives its value safely: a place reused has another turn.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace flintweir {

struct SlabKey {
  std::uint32_t place = 0;
  std::uint32_t turn = 0;  // 0 is never given out

  // As one number, never 0 for a key that was given out.
  std::uint64_t packed() const { return std::uint64_t{turn} << 32 | place; }
  static SlabKey unpacked(std::uint64_t n) {
    return {static_cast<std::uint32_t>(n), static_cast<std::uint32_t>(n >> 32)};
  }
};

template <class T>
class Slab {
 public:
  SlabKey add(T value) {
    const SlabKey key = lend();
    cells_[key.place].value = std::move(value);
    return key;
  }

  // A place whose value is as its last user left it, or made from `args` where the place is new.
  template <class... Args>
  SlabKey lend(Args&&... args) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(cells_.size()));
      cells_.emplace_back(std::forward<Args>(args)...);
    }
    const std::uint32_t place = free_.back();
    free_.pop_back();
    Cell& cell = cells_[place];
    cell.used = true;
    return {place, ++cell.turn};
  }

  T* find(SlabKey key) { return has(key) ? &cells_[key.place].value : nullptr; }

  bool has(SlabKey key) const {
    return key.place < cells_.size() && cells_[key.place].used && cells_[key.place].turn == key.turn;
  }

  void drop(SlabKey key) {
    if (!has(key)) return;
    cells_[key.place].used = false;
    free_.push_back(key.place);
  }

  // Calls visit(key, value) in order of place.
  template <class Visit>
  void each(Visit visit) {
    for (std::uint32_t place = 0; place < cells_.size(); ++place) {
      if (cells_[place].used) visit(SlabKey{place, cells_[place].turn}, cells_[place].value);
    }
  }

 private:
  struct Cell {
    template <class... Args>
    explicit Cell(Args&&... args) : value(std::forward<Args>(args)...) {}
    T value;
    std::uint32_t turn = 0;
    bool used = false;
  };
  std::deque<Cell> cells_;
  std::vector<std::uint32_t> free_;
};

}  // namespace flintweir
