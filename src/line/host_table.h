// Where hosts are reached: what the list says of them beside what the module is told.
#pragma once

#include <string>
#include <unordered_map>
#include <utility>

#include "address.h"
#include "ids.h"

namespace flintweir::line {

class HostTable {
 public:
  struct Host {
    std::string name;
    Address at;
    bool late = false;  // its messages are
    Micros late_told{0};
  };
  const Host* find(HostId id) const {
    const auto it = hosts_.find(id.value);
    return it == hosts_.end() ? nullptr : &it->second;
  }
  Host* find(HostId id) { return const_cast<Host*>(std::as_const(*this).find(id)); }
  const char* name(HostId id) const {
    const Host* h = find(id);
    return h ? h->name.c_str() : "-";
  }
  void update(HostId id, std::string_view name, const Address& at) {
    Host& host = hosts_[id.value];
    if (host.name != name) host.name = name;
    host.at = at;
  }
  // The module has dropped it: what the list lacks may still be of use to it.
  void forget(HostId id) { hosts_.erase(id.value); }

 private:
  std::unordered_map<std::uint64_t, Host> hosts_;
};

}  // namespace flintweir::line
