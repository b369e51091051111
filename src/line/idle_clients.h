// Clients' connections that hold a descriptor and ask for nothing: before their first line, after their
// answer.
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
  virtual void evict() = 0;  // must leave at once
  IdleClient *before_ = this, *after_ = this;
};

// Holds so many; one more and the one that came first goes. Guards against hundreds of connections that say
// nothing: they push out one another, while a usual client says its line long before its turn has come.
class IdleClients {
 public:
  explicit IdleClients(std::size_t most) : most_(most) {}
  void enter(IdleClient& client) {
    leave(client);
    client.before_ = head_.before_;
    client.after_ = &head_;
    client.before_->after_ = head_.before_ = &client;
    if (++size_ > most_) evict_oldest();
  }
  void leave(IdleClient& client) {
    if (client.after_ == &client) return;
    client.before_->after_ = client.after_;
    client.after_->before_ = client.before_;
    client.before_ = client.after_ = &client;
    --size_;
  }
  bool evict_oldest() {  // false: nobody is here
    if (size_ == 0) return false;
    head_.after_->evict();
    return true;
  }

 private:
  struct Head final : IdleClient {
    void evict() override {}
  };
  Head head_;
  std::size_t most_, size_ = 0;
};

}  // namespace flintweir::line
