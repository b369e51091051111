// Names and addresses of hosts by id. The balancer works with ids only.
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
    Address address;
    bool messages_late = false;  // the last measured message delay was too long
    Micros late_reported_at{0};  // when a late message was last reported to the balancer
  };
  const Host* find(HostId id) const {
    const auto it = hosts_.find(id.value);
    return it == hosts_.end() ? nullptr : &it->second;
  }
  Host* find(HostId id) { return const_cast<Host*>(std::as_const(*this).find(id)); }
  // For log lines: "-" for an unknown host. Valid until the host is updated or removed.
  const char* name(HostId id) const {
    const Host* h = find(id);
    return h ? h->name.c_str() : "-";
  }
  void update(HostId id, std::string_view name, const Address& address) {
    Host& host = hosts_[id.value];
    if (host.name != name) host.name = name;
    host.address = address;
  }
  // Called when the balancer has forgotten the host. A host that is merely missing from the list may still be
  // dialled.
  void remove(HostId id) { hosts_.erase(id.value); }

 private:
  std::unordered_map<std::uint64_t, Host> hosts_;
};

}  // namespace flintweir::line
