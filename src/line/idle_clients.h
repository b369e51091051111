// A bounded set of client connections that hold a descriptor without a session: those that have not sent
// their first line, and those that have been answered and are not closed yet.
#pragma once

#include <cstddef>

namespace flintweir::line {

class IdleClient {
 public:
  IdleClient() = default;
  IdleClient(const IdleClient&) = delete;
  IdleClient& operator=(const IdleClient&) = delete;

 protected:
  ~IdleClient() = default;

 private:
  friend class IdleClients;
  virtual void evict() = 0;  // must call remove() before it returns
  IdleClient *prev_ = this, *next_ = this;
};

// An intrusive list, oldest first. Adding a client beyond `max_size` evicts the oldest one. Hundreds of
// connections that send nothing thus evict only one another, whereas an ordinary client sends its line long
// before it becomes the oldest.
class IdleClients {
 public:
  explicit IdleClients(std::size_t max_size) : max_size_(max_size) {}
  void add(IdleClient& client) {
    remove(client);
    client.prev_ = head_.prev_;
    client.next_ = &head_;
    client.prev_->next_ = head_.prev_ = &client;
    if (++size_ > max_size_) evict_oldest();
  }
  // Does nothing if the client is not in the list.
  void remove(IdleClient& client) {
    if (client.next_ == &client) return;
    client.prev_->next_ = client.next_;
    client.next_->prev_ = client.prev_;
    client.prev_ = client.next_ = &client;
    --size_;
  }
  // Returns false if the list is empty.
  bool evict_oldest() {
    if (size_ == 0) return false;
    head_.next_->evict();
    return true;
  }

 private:
  struct Head final : IdleClient {
    void evict() override {}
  };
  Head head_;
  std::size_t max_size_, size_ = 0;
};

}  // namespace flintweir::line
