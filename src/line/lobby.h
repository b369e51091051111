// Clients' connections that hold a descriptor and ask for nothing: before their first line, after their
// answer.
#pragma once

#include <cstddef>

namespace flintweir::line {

class Guest {
 public:
  Guest() = default;
  Guest(const Guest&) = delete;
  Guest& operator=(const Guest&) = delete;

 protected:
  ~Guest() = default;

 private:
  friend class Lobby;
  virtual void show_out() = 0;  // must leave at once
  Guest *before_ = this, *after_ = this;
};

// Holds so many; one more and the one that came first goes. Guards against hundreds of connections that say
// nothing: they push out one another, while a usual client says its line long before its turn has come.
class Lobby {
 public:
  explicit Lobby(std::size_t most) : most_(most) {}
  void enter(Guest& guest) {
    leave(guest);
    guest.before_ = door_.before_;
    guest.after_ = &door_;
    guest.before_->after_ = door_.before_ = &guest;
    if (++size_ > most_) show_out_first();
  }
  void leave(Guest& guest) {
    if (guest.after_ == &guest) return;
    guest.before_->after_ = guest.after_;
    guest.after_->before_ = guest.before_;
    guest.before_ = guest.after_ = &guest;
    --size_;
  }
  bool show_out_first() {  // false: nobody is here
    if (size_ == 0) return false;
    door_.after_->show_out();
    return true;
  }

 private:
  struct Door final : Guest {
    void show_out() override {}
  };
  Door door_;
  std::size_t most_, size_ = 0;
};

}  // namespace flintweir::line
