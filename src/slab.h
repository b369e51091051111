// Values at reused places. A key outlives its value safely: a place that was reused has another turn.
#pragma once

#include <cstdint>
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
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(cells_.size()));
      cells_.emplace_back();
      free_.reserve(cells_.capacity());
    }
    const std::uint32_t place = free_.back();
    free_.pop_back();
    Cell& cell = cells_[place];
    cell.value = std::move(value);
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
    T value{};
    std::uint32_t turn = 0;
    bool used = false;
  };
  std::vector<Cell> cells_;
  std::vector<std::uint32_t> free_;
};

}  // namespace flintweir
