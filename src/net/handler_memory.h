// Pooled memory for the completion handlers of pending asynchronous operations.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

namespace flintweir::net {

// A pool of fixed-size blocks, which also owns them. Blocks are reused: once as many exist as were ever in
// use at the same time, no further memory is allocated. Larger requests go to operator new. Not thread-safe.
class HandlerMemory {
 public:
  void* allocate(std::size_t size) {
    if (size > kBlockBytes) return ::operator new(size);
    if (free_.empty()) {
      free_.push_back(blocks_.emplace_back().bytes);
      free_.reserve(blocks_.size());
    }
    void* const block = free_.back();
    free_.pop_back();
    return block;
  }
  // `size` has to be the size that was passed to allocate().
  void deallocate(void* block, std::size_t size) {
    if (size > kBlockBytes) return ::operator delete(block);
    free_.push_back(block);
  }
  // Pooled blocks, in use or free.
  std::size_t block_count() const { return blocks_.size(); }

 private:
  static constexpr std::size_t kBlockBytes = 256;
  struct alignas(std::max_align_t) Block {
    std::byte bytes[kBlockBytes];
  };
  std::deque<Block> blocks_;
  std::vector<void*> free_;
};

// A standard allocator on top of a HandlerMemory, which has to outlive it.
template <class T>
class HandlerAllocator {
 public:
  using value_type = T;
  explicit HandlerAllocator(HandlerMemory& memory) : memory_(&memory) {}
  template <class U>
  HandlerAllocator(const HandlerAllocator<U>& other) : memory_(other.memory()) {}
  T* allocate(std::size_t n) { return static_cast<T*>(memory_->allocate(n * sizeof(T))); }
  void deallocate(T* p, std::size_t n) { memory_->deallocate(p, n * sizeof(T)); }
  HandlerMemory* memory() const { return memory_; }
  template <class U>
  bool operator==(const HandlerAllocator<U>& other) const {
    return memory_ == other.memory();
  }

 private:
  HandlerMemory* memory_;
};

}  // namespace flintweir::net
