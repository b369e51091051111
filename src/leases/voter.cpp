#include "leases/voter.h"

#include <algorithm>
#include <utility>

namespace flintweir::leases {

Voter::Voter(Micros longest, Token floor, Micros now, VoterStorage* storage,
             const std::optional<std::vector<VoterStorage::Record>>& kept)
    : longest_(longest), silent_until_(kept ? now : now + longest), floor_(floor), storage_(storage) {
  if (!kept) return;
  for (const VoterStorage::Record& k : *kept) {
    Entry& e = entries_[k.lease];
    e.promised = k.promised, e.promised_to = k.promised_to;
    e.granted = k.granted, e.holder = k.holder;
    // When it was granted is not kept: a clock may have begun anew since.
    if (!e.holder.empty()) e.until = now + longest;
  }
}

bool Voter::keep(std::string_view lease, const Entry& e) {
  return !storage_ || storage_->save({std::string(lease), e.promised_to, e.holder, e.promised, e.granted});
}

std::optional<Reply> Voter::handle(Micros now, const Request& r, std::string_view who) {
  if (silent(now) || r.duration > longest_) return std::nullopt;
  auto it = entries_.find(r.lease);
  if (it == entries_.end()) {
    if (r.kind == RequestKind::query || r.kind == RequestKind::release) return std::nullopt;
    if (entries_.size() >= kMostLeases) return std::nullopt;  // what is promised is never forgotten
    it = entries_.emplace(std::string(r.lease), Entry{floor_, {}, {}, {}, Micros{0}, {}}).first;
  }
  Entry& e = it->second;
  const bool live = !e.holder.empty() && now < e.until;
  const auto reply = [&](ReplyKind say) {
    return Reply{say,
                 it->first,
                 r.token,
                 r.round,
                 e.promised,
                 live ? std::string_view(e.holder) : std::string_view(),
                 live ? e.until - now : Micros{0}};
  };
  switch (r.kind) {
    case RequestKind::query:
      return reply(live ? ReplyKind::held : ReplyKind::preempted);
    case RequestKind::prepare: {
      if (live && e.holder != who) {
        return reply(in_line(e, who, now, longest_) ? ReplyKind::queued : ReplyKind::held);
      }
      if (r.token <= e.promised) return reply(ReplyKind::preempted);
      Entry next = e;
      next.promised = r.token;
      next.promised_to = who;
      if (!keep(it->first, next)) return std::nullopt;
      e = std::move(next);
      return reply(ReplyKind::promised);
    }
    case RequestKind::grant: {
      // Neither a smaller token nor one of somebody else's: a larger promise closes all before it.
      if (r.token != e.promised || who != e.promised_to) return reply(ReplyKind::preempted);
      Entry next = e;
      next.granted = r.token;
      next.holder = who;
      std::erase_if(next.line, [&](const auto& l) { return l.first == who; });
      if ((e.granted != r.token || e.holder != who) && !keep(it->first, next)) return std::nullopt;
      e = std::move(next);
      e.until = std::max(e.until, now + r.duration);
      return Reply{ReplyKind::granted, it->first, r.token, r.round, e.promised, e.holder, e.until - now};
    }
    case RequestKind::release: {
      if (r.token != e.granted || e.holder != who) return std::nullopt;
      Entry next = e;
      next.holder.clear();
      next.promised_to.clear();  // a renewal of its own that comes late takes nothing back
      if (!keep(it->first, next)) return std::nullopt;
      e = std::move(next);
      e.until = Micros{0};
      return Reply{ReplyKind::released, it->first, r.token, r.round, e.promised, {}, Micros{0}};
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

std::vector<std::string> Voter::take_waiters(std::string_view lease) {
  std::vector<std::string> out;
  const auto it = entries_.find(lease);
  if (it == entries_.end()) return out;
  for (auto& [name, asked] : it->second.line) out.push_back(std::move(name));
  it->second.line.clear();
  return out;
}

void Voter::append_state(Micros now, std::string& out) const {
  out += std::to_string(std::max(silent_until_ - now, Micros{0}).count());
  for (const auto& [name, e] : entries_) {
    out += '|' + name + ' ' + std::to_string(e.promised.value) + e.promised_to + ' ' +
           std::to_string(e.granted.value) + e.holder + ' ' +
           std::to_string(std::max(e.until - now, Micros{0}).count());
  }
}

std::vector<Voter::LeaseState> Voter::list(Micros now) const {
  std::vector<LeaseState> out;
  for (const auto& [name, e] : entries_) {
    const bool live = !e.holder.empty() && now < e.until;
    out.push_back({name, live ? e.holder : "", e.granted, live ? e.until - now : Micros{0}, {}});
    for (const auto& [who, asked] : e.line) out.back().waiters.push_back(who);
  }
  return out;
}

}  // namespace flintweir::leases
