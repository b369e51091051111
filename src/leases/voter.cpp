#include "leases/voter.h"

#include <algorithm>
#include <utility>

namespace flintweir::leases {

Voter::Voter(Micros longest, Token floor, Micros now, Folder* folder,
             const std::optional<std::vector<Folder::Kept>>& kept)
    : longest_(longest), silent_until_(kept ? now : now + longest), floor_(floor), folder_(folder) {
  if (!kept) return;
  for (const Folder::Kept& k : *kept) {
    Entry& e = entries_[k.lease];
    e.promised = k.promised, e.promised_to = k.promised_to;
    e.granted = k.granted, e.holder = k.holder;
    // When it was granted is not kept: a clock may have begun anew since.
    if (!e.holder.empty()) e.until = now + longest;
  }
}

bool Voter::keep(std::string_view lease, const Entry& e) {
  return !folder_ || folder_->keep({std::string(lease), e.promised_to, e.holder, e.promised, e.granted});
}

std::optional<Reply> Voter::asked(Micros now, const Request& r, std::string_view who) {
  if (silent(now) || r.length > longest_) return std::nullopt;
  auto it = entries_.find(r.lease);
  if (it == entries_.end()) {
    if (r.ask == Ask::look || r.ask == Ask::release) return std::nullopt;
    if (entries_.size() >= kMostLeases) return std::nullopt;  // what is promised is never forgotten
    it = entries_.emplace(std::string(r.lease), Entry{floor_, {}, {}, {}, Micros{0}, {}}).first;
  }
  Entry& e = it->second;
  const bool live = !e.holder.empty() && now < e.until;
  const auto reply = [&](Say say) {
    return Reply{say,
                 it->first,
                 r.token,
                 r.round,
                 e.promised,
                 live ? std::string_view(e.holder) : std::string_view(),
                 live ? e.until - now : Micros{0}};
  };
  switch (r.ask) {
    case Ask::look:
      return reply(live ? Say::held : Say::later);
    case Ask::promise: {
      if (live && e.holder != who) {
        return reply(in_line(e, who, now, longest_) ? Say::in_line : Say::held);
      }
      if (r.token <= e.promised) return reply(Say::later);
      Entry next = e;
      next.promised = r.token;
      next.promised_to = who;
      if (!keep(it->first, next)) return std::nullopt;
      e = std::move(next);
      return reply(Say::promised);
    }
    case Ask::grant: {
      // Neither a smaller token nor one of somebody else's: a larger promise closes all before it.
      if (r.token != e.promised || who != e.promised_to) return reply(Say::later);
      Entry next = e;
      next.granted = r.token;
      next.holder = who;
      std::erase_if(next.line, [&](const auto& l) { return l.first == who; });
      if ((e.granted != r.token || e.holder != who) && !keep(it->first, next)) return std::nullopt;
      e = std::move(next);
      e.until = std::max(e.until, now + r.length);
      return Reply{Say::granted, it->first, r.token, r.round, e.promised, e.holder, e.until - now};
    }
    case Ask::release: {
      if (r.token != e.granted || e.holder != who) return std::nullopt;
      Entry next = e;
      next.holder.clear();
      next.promised_to.clear();  // a renewal of its own that comes late takes nothing back
      if (!keep(it->first, next)) return std::nullopt;
      e = std::move(next);
      e.until = Micros{0};
      return Reply{Say::freed, it->first, r.token, r.round, e.promised, {}, Micros{0}};
    }
  }
  return std::nullopt;
}

// Whether it stands in line from now on; one that has not asked for two leases is in nobody's way.
bool Voter::in_line(Entry& e, std::string_view who, Micros now, Micros longest) {
  std::erase_if(e.line, [&](const auto& l) { return now - l.second > 2 * longest; });
  for (auto& [name, asked] : e.line)
    if (name == who) return asked = now, true;
  if (e.line.size() >= kLine) return false;
  e.line.emplace_back(who, now);
  return true;
}

std::vector<std::string> Voter::freed(std::string_view lease) {
  std::vector<std::string> out;
  const auto it = entries_.find(lease);
  if (it == entries_.end()) return out;
  for (auto& [name, asked] : it->second.line) out.push_back(std::move(name));
  it->second.line.clear();
  return out;
}

void Voter::tell(Micros now, std::string& out) const {
  out += std::to_string(std::max(silent_until_ - now, Micros{0}).count());
  for (const auto& [name, e] : entries_) {
    out += '|' + name + ' ' + std::to_string(e.promised.value) + e.promised_to + ' ' +
           std::to_string(e.granted.value) + e.holder + ' ' +
           std::to_string(std::max(e.until - now, Micros{0}).count());
  }
}

std::vector<Voter::Standing> Voter::all(Micros now) const {
  std::vector<Standing> out;
  for (const auto& [name, e] : entries_) {
    const bool live = !e.holder.empty() && now < e.until;
    out.push_back({name, live ? e.holder : "", e.granted, live ? e.until - now : Micros{0}, {}});
    for (const auto& [who, asked] : e.line) out.back().line.push_back(who);
  }
  return out;
}

}  // namespace flintweir::leases
