// Memory for what waits in the event loop.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

namespace flintweir::net {

// Blocks for handlers, reused, so that serving allocates nothing once as many are out as ever at a time.
class HandlerMemory {
 public:
  void* take(std::size_t size) {
    if (size > kBlock) return ::operator new(size);
    if (free_.empty()) {
      free_.push_back(blocks_.emplace_back().bytes);
      free_.reserve(blocks_.size());
    }
    void* const block = free_.back();
    free_.pop_back();
    return block;
  }
  void give(void* block, std::size_t size) {
    if (size > kBlock) return ::operator delete(block);
    free_.push_back(block);
  }
  std::size_t blocks() const { return blocks_.size(); }

 private:
  static constexpr std::size_t kBlock = 256;
  struct alignas(std::max_align_t) Block {
    std::byte bytes[kBlock];
  };
  std::deque<Block> blocks_;
  std::vector<void*> free_;
};

template <class T>
class HandlerAllocator {
 public:
  using value_type = T;
  explicit HandlerAllocator(HandlerMemory& memory) : memory_(&memory) {}
  template <class U>
  HandlerAllocator(const HandlerAllocator<U>& o) : memory_(o.memory()) {}
  T* allocate(std::size_t n) { return static_cast<T*>(memory_->take(n * sizeof(T))); }
  void deallocate(T* p, std::size_t n) { memory_->give(p, n * sizeof(T)); }
  HandlerMemory* memory() const { return memory_; }
  template <class U>
  bool operator==(const HandlerAllocator<U>& o) const {
    return memory_ == o.memory();
  }

 private:
  HandlerMemory* memory_;
};

}  // namespace flintweir::net
