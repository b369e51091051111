#include "leases/voter.h"

#include <algorithm>
#include <utility>

namespace flintweir::leases {

Voter::Voter(Micros max_duration, Token floor, Micros now, VoterStorage* storage,
             const std::optional<std::vector<VoterStorage::Record>>& saved)
    : max_duration_(max_duration),
      silent_until_(saved ? now : now + max_duration),
      floor_(floor),
      storage_(storage) {
  if (!saved) return;
  for (const VoterStorage::Record& record : *saved) {
    Entry& entry = entries_[record.lease];
    entry.promised = record.promised, entry.promised_to = record.promised_to;
    entry.granted = record.granted, entry.holder = record.holder;
    // The time of the grant is not saved, since the clock may have been reset since then.
    if (!entry.holder.empty()) entry.expires = now + max_duration;
  }
}

bool Voter::save(std::string_view lease, const Entry& entry) {
  return !storage_ ||
         storage_->save({std::string(lease), entry.promised_to, entry.holder, entry.promised, entry.granted});
}

std::optional<Reply> Voter::handle(Micros now, const Request& request, std::string_view client) {
  if (silent(now) || request.duration > max_duration_) return std::nullopt;
  auto it = entries_.find(request.lease);
  if (it == entries_.end()) {
    if (request.kind == RequestKind::query || request.kind == RequestKind::release) return std::nullopt;
    if (entries_.size() >= kMaxLeases) return std::nullopt;  // promises are never evicted
    it = entries_.emplace(std::string(request.lease), Entry{floor_, {}, {}, {}, Micros{0}, {}}).first;
  }
  Entry& entry = it->second;
  const bool is_held = !entry.holder.empty() && now < entry.expires;
  const auto make_reply = [&](ReplyKind kind) {
    return Reply{kind,
                 it->first,
                 request.token,
                 request.round,
                 entry.promised,
                 is_held ? std::string_view(entry.holder) : std::string_view(),
                 is_held ? entry.expires - now : Micros{0}};
  };
  switch (request.kind) {
    case RequestKind::query:
      return make_reply(is_held ? ReplyKind::held : ReplyKind::preempted);
    case RequestKind::prepare: {
      if (is_held && entry.holder != client) {
        return make_reply(enqueue(entry, client, now, max_duration_) ? ReplyKind::queued : ReplyKind::held);
      }
      if (request.token <= entry.promised) return make_reply(ReplyKind::preempted);
      Entry next = entry;
      next.promised = request.token;
      next.promised_to = client;
      if (!save(it->first, next)) return std::nullopt;
      entry = std::move(next);
      return make_reply(ReplyKind::promised);
    }
    case RequestKind::grant: {
      // Only under the token promised last, and to the client it was promised to.
      if (request.token != entry.promised || client != entry.promised_to)
        return make_reply(ReplyKind::preempted);
      Entry next = entry;
      next.granted = request.token;
      next.holder = client;
      std::erase_if(next.queue, [&](const auto& waiter) { return waiter.first == client; });
      if ((entry.granted != request.token || entry.holder != client) && !save(it->first, next))
        return std::nullopt;
      entry = std::move(next);
      entry.expires = std::max(entry.expires, now + request.duration);
      return Reply{ReplyKind::granted, it->first,    request.token,      request.round,
                   entry.promised,     entry.holder, entry.expires - now};
    }
    case RequestKind::release: {
      if (request.token != entry.granted || entry.holder != client) return std::nullopt;
      Entry next = entry;
      next.holder.clear();
      next.promised_to.clear();  // a delayed renewal by the same client must not undo the release
      if (!save(it->first, next)) return std::nullopt;
      entry = std::move(next);
      entry.expires = Micros{0};
      return Reply{ReplyKind::released, it->first, request.token, request.round,
                   entry.promised,      {},        Micros{0}};
    }
  }
  return std::nullopt;
}

// Returns whether the client is queued now. Clients without a request for two lease durations are dropped.
bool Voter::enqueue(Entry& entry, std::string_view client, Micros now, Micros max_duration) {
  std::erase_if(entry.queue, [&](const auto& waiter) { return now - waiter.second > 2 * max_duration; });
  for (auto& [name, requested_at] : entry.queue)
    if (name == client) return requested_at = now, true;
  if (entry.queue.size() >= kMaxQueued) return false;
  entry.queue.emplace_back(client, now);
  return true;
}

std::vector<std::string> Voter::take_waiters(std::string_view lease) {
  std::vector<std::string> out;
  const auto it = entries_.find(lease);
  if (it == entries_.end()) return out;
  for (auto& [name, requested_at] : it->second.queue) out.push_back(std::move(name));
  it->second.queue.clear();
  return out;
}

void Voter::append_state(Micros now, std::string& out) const {
  out += std::to_string(std::max(silent_until_ - now, Micros{0}).count());
  for (const auto& [name, entry] : entries_) {
    out += '|' + name + ' ' + std::to_string(entry.promised.value) + entry.promised_to + ' ' +
           std::to_string(entry.granted.value) + entry.holder + ' ' +
           std::to_string(std::max(entry.expires - now, Micros{0}).count());
  }
}

std::vector<Voter::LeaseState> Voter::list(Micros now) const {
  std::vector<LeaseState> out;
  for (const auto& [name, entry] : entries_) {
    const bool is_held = !entry.holder.empty() && now < entry.expires;
    out.push_back(
        {name, is_held ? entry.holder : "", entry.granted, is_held ? entry.expires - now : Micros{0}, {}});
    for (const auto& [client, requested_at] : entry.queue) out.back().waiters.push_back(client);
  }
  return out;
}

}  // namespace flintweir::leases
