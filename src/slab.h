// A container whose values never move and whose cells are reused. A key may outlive its value: it is not
// mistaken for the key of a later value in the same cell, as that has another generation.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace flintweir {

struct SlabKey {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;  // 0 in no valid key

  // The key as one number, which is not 0 for a valid key.
  std::uint64_t packed() const { return std::uint64_t{generation} << 32 | index; }
  static SlabKey unpacked(std::uint64_t n) {
    return {static_cast<std::uint32_t>(n), static_cast<std::uint32_t>(n >> 32)};
  }
};

template <class T>
class Slab {
 public:
  SlabKey add(T value) {
    const SlabKey key = acquire();
    cells_[key.index].value = std::move(value);
    return key;
  }

  // Takes a cell. Its value is as the last user of the cell left it, or made from `args` if the cell is new.
  template <class... Args>
  SlabKey acquire(Args&&... args) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(cells_.size()));
      cells_.emplace_back(std::forward<Args>(args)...);
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    Cell& cell = cells_[index];
    cell.used = true;
    return {index, ++cell.generation};
  }

  T* find(SlabKey key) { return has(key) ? &cells_[key.index].value : nullptr; }

  bool has(SlabKey key) const {
    return key.index < cells_.size() && cells_[key.index].used &&
           cells_[key.index].generation == key.generation;
  }

  void release(SlabKey key) {
    if (!has(key)) return;
    cells_[key.index].used = false;
    free_.push_back(key.index);
  }

  // Calls visit(key, value) for each value, in order of index.
  template <class Visit>
  void for_each(Visit visit) {
    for (std::uint32_t index = 0; index < cells_.size(); ++index) {
      if (cells_[index].used) visit(SlabKey{index, cells_[index].generation}, cells_[index].value);
    }
  }

 private:
  struct Cell {
    template <class... Args>
    explicit Cell(Args&&... args) : value(std::forward<Args>(args)...) {}
    T value;
    std::uint32_t generation = 0;
    bool used = false;
  };
  std::deque<Cell> cells_;
  std::vector<std::uint32_t> free_;
};

}  // namespace flintweir
