#include "members/view.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace flintweir::members {
namespace {

using namespace std::chrono_literals;

// Durations, in multiples of the interval between two probes.
constexpr int kMinSuspicionIntervals = 4;  // from suspicion to failure, when enough other members confirm it
constexpr int kMaxSuspicionFactor = 6;     // an unconfirmed suspicion lasts this many times the minimum
// Between two rounds of pings to the seeds, before jitter.
constexpr int kMinSeedRetryIntervals = 1, kMaxSeedRetryIntervals = 8;
constexpr int kJoinTimeoutIntervals = 7;      // with no answer from a seed, the node starts a new fleet
constexpr int kClaimTimeoutIntervals = 5;     // in which a running process of the same name answers a claim
constexpr int kLeftRetentionIntervals = 200;  // longer than a delayed datagram can be in transit
constexpr int kMaxRoundTripIntervals = 4;     // upper limit of the timeout derived from round-trip times
constexpr int kRecheckIntervals = 10;         // in which members wrongly marked as failed answer a ping
constexpr int kLearnFailedIntervals = 40;     // after joining, failed members unknown so far are still added
constexpr int kFailedPingIntervals = 4;       // between pings of a randomly chosen failed member
constexpr int kNewcomerIntervals = 10;        // for which a member counts as new
constexpr int kLateAckIntervals = 32;         // acks this late still update the round-trip times

constexpr int kGossipRoundsPerInterval = 3;         // while updates are queued
constexpr std::size_t kGossipFanout = 3;            // members per gossip round
constexpr int kMinTransmits = 3;                    // per update, plus one per doubling of the fleet size
constexpr std::size_t kMaxUpdatesPerDatagram = 40;  // no more than this fit
constexpr std::size_t kMaxSyncDatagrams = 4;        // in reply to one sync digest
constexpr std::size_t kWelcomeMembers = 4;          // other members included in the ack to a newcomer

constexpr std::size_t kIndirectProbes = 3;      // members asked to ping a member that does not answer
constexpr std::size_t kMaxIndirectProbes = 64;  // pending at a time on behalf of others
constexpr std::size_t kMaxConfirmations = 3;    // of a suspicion, beside the first report
constexpr double kVerifiersPerSuspicion = 6;  // members, on average, that probe a newly suspected one at once
constexpr int kMaxHealthPenalty = 4;          // added to the multiplier of probe intervals and timeouts

// Token bucket that limits the bytes sent; replies that a member waits for have priority.
constexpr double kSendBytesPerSecond = 64 << 10, kSendBurstBytes = 16 << 10;

enum class Timer : std::uint64_t {
  probe = 1,
  direct_timeout,
  probe_timeout,
  gossip,
  suspicions,
  failed_members,
  seeds,
  join_timeout,
  claim_timeout,
  indirect_timeout
};

TimerId timer_id(Timer timer, std::uint64_t seq) {
  return TimerId{static_cast<std::uint64_t>(timer) << 56 | seq};
}

}  // namespace

class View::Impl final : DatagramHandler {
 public:
  Impl(ViewDelegate& delegate, std::string fleet, std::string name, Generation generation,
       const Address& advertised, std::string zone, std::string version, std::vector<Address> seeds,
       Micros probe_interval, Micros forget_after, std::size_t max_members, std::uint64_t seed)
      : delegate_(delegate),
        fleet_(std::move(fleet)),
        name_(std::move(name)),
        interval_(probe_interval),
        forget_after_(forget_after),
        max_members_(max_members),
        rng_(static_cast<std::knuth_b::result_type>(seed | 1)) {
    Member& me = members_.try_emplace(name_).first->second.member;
    me.generation = generation;
    me.state = MemberState::joining;
    me.address = advertised;
    me.zone = std::move(zone);
    me.version = std::move(version);
    me.reported_by = name_;
    this->set_seeds(std::move(seeds));
    // Nonces must differ from those of an earlier process of the same name.
    last_nonce_ = mix(seed ^ generation.value) >> 9;
  }

  void pick_members(std::size_t same_zone, std::size_t other_zones, std::vector<Address>& to) {
    const std::string& zone = members_.at(name_).member.zone;
    std::vector<Address> same, other;
    // With few zones, a small number of attempts finds members both inside and outside this node's zone.
    std::set<std::size_t> tried;
    for (std::size_t i = 0; !probe_order_.empty() && i < 8 * (same_zone + other_zones); ++i) {
      const std::size_t index = random_index(probe_order_.size());
      if (!tried.insert(index).second) continue;
      const auto it = members_.find(probe_order_[index]);
      if (it == members_.end() || !is_active_peer(it->first, it->second)) continue;
      (it->second.member.zone == zone ? same : other).push_back(it->second.member.address);
    }
    const std::size_t max_other = same_zone > 0 && same.empty() ? same_zone + other_zones : other_zones,
                      max_same = other_zones > 0 && other.empty() ? same_zone + other_zones : same_zone;
    same.resize(std::min(same.size(), max_same));
    other.resize(std::min(other.size(), max_other));
    to.insert(to.end(), same.begin(), same.end());
    to.insert(to.end(), other.begin(), other.end());
  }

  void set_time(Micros now) {
    now_ = std::max(now, now_);
    // Guards against a process that was stopped and then blames others for missing acks: pending probes are
    // dropped and suspicions get the lost time back.
    if (probe_due_at_ != Micros::max() && now_ > probe_due_at_ + interval_ / 2)
      process_paused(now_ - probe_due_at_);
  }

  void start() {
    started_at_ = now_;
    me().since = now_;
    refilled_at_ = now_;
    set_timer(jittered(interval_, 0.5), Timer::probe);
    set_timer(jittered(interval_ * kFailedPingIntervals, 0.5), Timer::failed_members);
    if (seeds_.empty()) return join("no seeds configured");
    ping_seeds();
    set_timer(interval_ * kJoinTimeoutIntervals, Timer::join_timeout);
  }

  void received(const Address& from, std::string_view bytes) {
    ++counters_.received;
    source_ = from;
    self_mentioned_ = false;
    refill_budgets();
    if (const DecodeError error = decode(bytes, fleet_, *this); error != DecodeError::none) {
      ++counters_.decode_errors[static_cast<std::size_t>(error)];
      log_dropped(error);
    }
  }

  void timer_expired(TimerId timer) {
    const auto kind = static_cast<Timer>(timer.value >> 56);
    const std::uint64_t seq = timer.value & ((1ull << 56) - 1);
    refill_budgets();
    switch (kind) {
      case Timer::probe:
        return probe();
      case Timer::direct_timeout:
        if (seq == probe_seq_) send_indirect_probes();
        return;
      case Timer::probe_timeout:
        if (seq == probe_seq_) finish_probe();
        return;
      case Timer::gossip:
        return send_gossip_round();
      case Timer::suspicions:
        return check_suspicions();
      case Timer::failed_members:
        return ping_failed_member();
      case Timer::seeds:
        if (seq == seed_seq_) ping_seeds();
        return;
      case Timer::join_timeout:
        if (me().state == MemberState::joining && !claim_pending_ && !name_taken_)
          join("no reply from any seed");
        return;
      case Timer::claim_timeout:
        if (seq == claim_seq_) claim_expired();
        return;
      case Timer::indirect_timeout:
        return indirect_probe_expired(Nonce{seq});
    }
  }

  void leave() {
    if (!joined()) {
      muted_ = true;
      return;
    }
    update_member(name_, [](Member& member) {
      ++member.incarnation;
      member.state = MemberState::leaving;
    });
    // Sent at once to more members than usual, since the process exits before gossip reaches everyone.
    for (const Address& to : random_peers(kGossipFanout * 2, {}))
      send_gossip(MessageKind::gossip, to, next_nonce());
  }

  void set_seeds(std::vector<Address> seeds) {
    seeds_ = std::move(seeds);
    std::erase(seeds_, me().address);
    seed_retry_delay_ = Micros{0};  // restarts the backoff
  }

  void set_metadata(std::string_view metadata) {
    if (me().metadata == metadata) return;
    const auto apply = [&](Member& member) {
      member.metadata = std::string(metadata.substr(0, kMaxMetadataBytes));
      ++member.incarnation;
    };
    started_at_ == kNever ? apply(me()) : update_member(name_, apply);
  }

  std::uint64_t digest() const { return XXH3_64bits(buckets_.data(), sizeof buckets_); }

  unsigned active_count() const {
    if (me().state == MemberState::joining) return 0;
    unsigned out = 0;
    for (const auto& [name, entry] : members_) out += entry.member.state != MemberState::left;
    return out;
  }

  bool joined() const { return me().state != MemberState::joining; }

  const ViewCounters& counters() const { return counters_; }

 private:
  struct Entry {
    Member member;
    std::vector<std::string> suspected_by;  // who reported the suspicion, in order of arrival
    Micros suspected_since = kNever;
    bool failure_reported = false;  // another member reports it as failed: the minimum timeout applies
    int transmits_left = 0;         // of its latest update by gossip
    Micros notified_at = kNever;    // when it was last sent the suspicion or failure reported of it
    Micros recheck_until = kNever;  // marked as failed by this node while partitioned; an ack reinstates it
    Nonce notify_nonce;             // of that ping
    DecayingMean round_trip;        // seconds
  };
  using Entries = std::map<std::string, Entry, std::less<>>;
  using GossipEntry = Entries::value_type;
  struct IndirectProbe {
    Nonce request_nonce;
    Address requester;
  };

  Member& me() { return members_.find(name_)->second.member; }
  const Member& me() const { return members_.find(name_)->second.member; }
  bool is_muted() const { return muted_ || name_taken_; }

  // Timers and random numbers.

  void set_timer(Micros delay, Timer timer, std::uint64_t seq = 0) {
    if (timer == Timer::probe) probe_due_at_ = now_ + delay;
    delegate_.set_timer(delay, timer_id(timer, seq));
  }

  void refill_budgets() {
    send_budget_ =
        std::min(kSendBurstBytes, send_budget_ + kSendBytesPerSecond * seconds(now_ - refilled_at_));
    query_budget_ =
        std::min(kSendBurstBytes, query_budget_ + kSendBytesPerSecond * seconds(now_ - refilled_at_));
    refilled_at_ = now_;
  }

  void process_paused(Micros delay) {
    probe_due_at_ = now_ + interval_;  // the overdue probe timer is about to expire
    recent_probes_.clear();
    ++probe_seq_;
    probe_history_ = 0;
    indirect_probes_.clear();
    health_penalty_ = std::min(health_penalty_ + 1, kMaxHealthPenalty);
    for (auto& [name, entry] : members_)
      if (entry.member.state == MemberState::suspected) entry.suspected_since += delay;
  }

  // Uniform within `spread` of the mean, as a share of it.
  Micros jittered(Micros mean, double spread) {
    const double offset = (2 * std::generate_canonical<double, 32>(rng_) - 1) * spread;
    return Micros{static_cast<std::int64_t>(static_cast<double>(mean.count()) * (1 + offset))};
  }
  std::size_t random_index(std::size_t size) {
    return std::min(size - 1, static_cast<std::size_t>(std::generate_canonical<double, 32>(rng_) *
                                                       static_cast<double>(size)));
  }
  Nonce next_nonce() { return Nonce{++last_nonce_}; }  // below 2^56, so that it fits into a timer id

  // Sending.

  Sender local_sender() const { return {name_, me().generation, me().address, digest(), weight(), false}; }

  // Replies to view queries have a budget of their own, so that they and the members' traffic do not starve
  // each other.
  void send_view_page(DatagramWriter& writer) {
    const std::string_view bytes = writer.finish();
    if (query_budget_ < 0) return;
    query_budget_ -= static_cast<double>(bytes.size());
    delegate_.send(source_, bytes);
  }

  // Low priority (gossip, sync, replies to newcomers) leaves a quarter of the burst to pings and acks:
  // otherwise a fleet that starts all at once uses up the budget of its seeds.
  enum class Priority { high, low };

  void send(const Address& to, DatagramWriter& writer, Priority priority) {
    const std::string_view bytes = writer.finish();
    if (send_budget_ < (priority == Priority::high ? 0 : kSendBurstBytes / 4)) {
      ++counters_.throttled;
      return;
    }
    send_budget_ -= static_cast<double>(bytes.size());
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    delegate_.send(to, bytes);
  }

  static MemberUpdate update_of(std::string_view name, const Member& member) {
    return {name,        member.generation, member.incarnation, member.state,      member.address,
            member.zone, member.version,    member.metadata,    member.reported_by};
  }

  // Sends a datagram with the update of the member `first`, if known, and as many queued updates as fit.
  void send_gossip(MessageKind kind, const Address& to, Nonce nonce, std::string_view first = {}) {
    DatagramWriter writer(kind, fleet_, local_sender(), nonce);
    if (const auto it = members_.find(first); it != members_.end())
      writer.add(update_of(first, it->second.member));
    // When the budget runs low, pings and acks are sent without gossip rather than dropped.
    if (kind != MessageKind::gossip && send_budget_ < kSendBurstBytes / 2)
      return send(to, writer, Priority::high);
    // Updates sent the fewest times so far go first.
    const auto end = gossip_queue_.begin() +
                     static_cast<std::ptrdiff_t>(std::min(gossip_queue_.size(), kMaxUpdatesPerDatagram));
    std::partial_sort(gossip_queue_.begin(), end, gossip_queue_.end(),
                      [](const GossipEntry* a, const GossipEntry* b) {
                        return a->second.transmits_left > b->second.transmits_left;
                      });
    for (auto it = gossip_queue_.begin(); it != end; ++it) {
      if ((*it)->first == first) continue;
      if (!writer.add(update_of((*it)->first, (*it)->second.member))) break;
      --(*it)->second.transmits_left;
    }
    std::erase_if(gossip_queue_, [](const GossipEntry* entry) { return entry->second.transmits_left <= 0; });
    send(to, writer, kind == MessageKind::gossip ? Priority::low : Priority::high);
  }

  // Queues a member's update for gossip. It is sent the minimum number of times if others learn it by sync as
  // well, which is also the case when many updates are new at once.
  void queue_update(std::string_view name, bool from_sync = false) {
    GossipEntry& entry = *members_.find(name);
    if (entry.second.transmits_left <= 0) gossip_queue_.push_back(&entry);
    entry.second.transmits_left =
        from_sync || gossip_queue_.size() > kMaxUpdatesPerDatagram
            ? kMinTransmits
            : kMinTransmits + static_cast<int>(std::ceil(std::log2(static_cast<double>(live_count_) + 2)));
    if (!std::exchange(gossip_timer_set_, true))
      set_timer(jittered(interval_ / kGossipRoundsPerInterval / 2, 0.5), Timer::gossip);
  }

  void dequeue_update(GossipEntry& entry) {
    entry.second.transmits_left = 0;
    std::erase(gossip_queue_, &entry);
  }

  void send_gossip_round() {
    gossip_timer_set_ = false;
    if (gossip_queue_.empty() || is_muted()) return;
    for (const Address& to : random_peers(kGossipFanout, {})) {
      if (gossip_queue_.empty()) break;
      send_gossip(MessageKind::gossip, to, next_nonce());
    }
    gossip_timer_set_ = true;
    set_timer(jittered(interval_ / kGossipRoundsPerInterval, 0.2), Timer::gossip);
  }

  // Addresses of at most `count` random members that have neither failed nor left, without `excluded`.
  std::vector<Address> random_peers(std::size_t count, std::string_view excluded) {
    std::vector<Address> out;
    std::set<std::size_t> tried;
    for (std::size_t i = 0; !probe_order_.empty() && i < 4 * count && out.size() < count; ++i) {
      const std::size_t index = random_index(probe_order_.size());
      if (!tried.insert(index).second || probe_order_[index] == excluded) continue;
      const auto it = members_.find(probe_order_[index]);
      if (it != members_.end() && is_active_peer(it->first, it->second))
        out.push_back(it->second.member.address);
    }
    return out;
  }

  bool is_active_peer(std::string_view name, const Entry& entry) const {
    return name != name_ && !is_terminal(entry.member.state);
  }

  // The digest covers only members that have neither failed nor left: nodes forget those at different times,
  // which would make equal views differ.

  static std::size_t bucket_of(std::string_view name) {
    return XXH3_64bits(name.data(), name.size()) % kDigestBuckets;
  }
  static std::uint64_t member_hash(std::string_view name, const Member& member) {
    const std::uint64_t fields[] = {member.generation.value, member.incarnation,
                                    static_cast<std::uint64_t>(member.state), member.address.port};
    std::uint64_t hash = XXH3_64bits_withSeed(fields, sizeof fields, XXH3_64bits(name.data(), name.size()));
    hash = XXH3_64bits_withSeed(member.address.bytes.data(), member.address.bytes.size(), hash);
    return XXH3_64bits_withSeed(member.metadata.data(), member.metadata.size(), hash);
  }
  static bool is_in_digest(const Member& member) {
    return !is_terminal(member.state) && member.state != MemberState::joining;
  }
  enum class DigestOp { add, remove };
  void update_digest(std::string_view name, const Member& member, DigestOp op) {
    if (!is_in_digest(member)) return;
    buckets_[bucket_of(name)] ^= member_hash(name, member);  // adds and removes alike
    const std::size_t delta = op == DigestOp::add ? 1 : std::size_t(-1);
    live_count_ += delta;
    if (member.state != MemberState::suspected) healthy_count_ += delta;
  }

  // Changes a member and everything that depends on it: digest, suspicion, gossip queue and delegate.
  template <class Change>
  void update_member(std::string_view name, Change change) {
    const auto it = members_.find(name);
    Entry& entry = it->second;
    const MemberState old_state = entry.member.state;
    const Generation old_generation = entry.member.generation;
    entry.recheck_until = kNever;
    update_digest(name, entry.member, DigestOp::remove);
    change(entry.member);
    update_digest(name, entry.member, DigestOp::add);
    if (entry.member.state != MemberState::suspected) {
      entry.suspected_by.clear();
      entry.suspected_since = kNever;
      entry.failure_reported = false;
    }
    queue_update(it->first);
    if (entry.member.state == old_state && entry.member.generation == old_generation) return;
    entry.member.since = now_;
    delegate_.on_member_changed(it->first, entry.member, false);
  }

  void copy_update(Member& member, const MemberUpdate& update, std::string_view reported_by) {
    member.generation = update.generation;
    member.incarnation = update.incarnation;
    member.state = update.state;
    member.address = update.address;
    member.zone = update.zone;
    member.version = update.version;
    member.metadata = update.metadata;
    member.reported_by = reported_by;
  }

  // Moves this node to a generation later than its own and `other`, so that what is known of those no longer
  // applies.
  void advance_generation(Generation other) {
    update_member(name_, [&](Member& member) {
      member.generation = Generation{std::max(member.generation.value, other.value) + 1};
      member.incarnation = 0;
    });
  }

  void join(const char* reason) {
    if (me().state != MemberState::joining) return;
    joined_at_ = now_;
    update_member(name_, [](Member& member) { member.state = MemberState::alive; });
    char line[96];
    std::snprintf(line, sizeof line, "joined why=\"%s\"", reason);
    delegate_.log(line);
  }

  // Joining, and rejoining after a partition.

  void ping_seeds() {
    // Continues after joining while a seed is not a known member: it may be in another partition.
    bool any_unknown = false;
    const auto ping_if_unknown = [&](const Address& seed) {
      if (joined() && knows_address(seed)) return;
      any_unknown = true;
      if (!is_muted()) send_gossip(MessageKind::ping, seed, next_nonce(), name_);
    };
    for (const Address& seed : seeds_) ping_if_unknown(seed);
    if (unknown_responder_) ping_if_unknown(*unknown_responder_);
    const auto fleet_size = static_cast<std::int64_t>(live_count_);
    const Micros max_delay = std::max(interval_ * kMaxSeedRetryIntervals, interval_ * fleet_size / 4);
    seed_retry_delay_ = std::min(
        seed_retry_delay_ == Micros{0} ? interval_ * kMinSeedRetryIntervals : seed_retry_delay_ * 3 / 2,
        max_delay);
    if (!any_unknown) seed_retry_delay_ = interval_ * kMaxSeedRetryIntervals;
    set_timer(jittered(seed_retry_delay_, 0.3), Timer::seeds, ++seed_seq_);  // cancels the timer before it
  }

  bool knows_address(const Address& address) const {
    for (const auto& [name, entry] : members_)
      if (entry.member.address == address && !is_terminal(entry.member.state)) return true;
    return false;
  }

  void ping_failed_member() {
    set_timer(jittered(interval_ * kFailedPingIntervals, 0.3), Timer::failed_members);
    forget_expired();
    if (is_muted() || !joined()) return;
    std::vector<std::string_view> failed;
    for (const auto& [name, entry] : members_)
      if (entry.member.state == MemberState::failed) failed.push_back(name);
    if (failed.empty()) return;
    notify_accused(failed[random_index(failed.size())], true);
  }

  // Pings a member with the suspicion or failure reported of it, so that it can refute it. While it is being
  // rechecked, the ping carries only this node's own update.
  void notify_accused(std::string_view name, bool at_once = false) {
    Entry& entry = members_.find(name)->second;
    if (!(at_once && !is_rechecked(entry)) && entry.notified_at != kNever &&
        now_ - entry.notified_at < interval_)
      return;
    entry.notified_at = now_;
    entry.notify_nonce = next_nonce();
    if (!is_muted())
      send_gossip(MessageKind::ping, entry.member.address, entry.notify_nonce,
                  is_rechecked(entry) ? std::string_view(name_) : name);
  }

  void forget_expired() {
    for (auto it = members_.begin(); it != members_.end();) {
      const Member& member = it->second.member;
      const Micros retention =
          member.state == MemberState::left ? interval_ * kLeftRetentionIntervals : forget_after_;
      const bool expired = is_terminal(member.state) && now_ - member.since > retention;
      if (!expired) {
        ++it;
        continue;
      }
      dequeue_update(*it);
      it = members_.erase(it);
    }
  }

  // If the view is full, evicts the member that failed or left the longest time ago; false if there is none.
  bool make_room() {
    if (members_.size() < max_members_) return true;
    auto oldest = members_.end();
    for (auto it = members_.begin(); it != members_.end(); ++it) {
      if (!is_terminal(it->second.member.state)) continue;
      if (oldest == members_.end() || it->second.member.since < oldest->second.member.since) oldest = it;
    }
    if (oldest == members_.end()) return ++counters_.rejected_members, false;
    dequeue_update(*oldest);
    members_.erase(oldest);
    return true;
  }

  // Probes.

  // Pings the next member. Without an ack before `direct_timeout` others are asked to ping it; without one
  // before `probe_timeout` it is suspected.
  void probe() {
    const std::string* const next = is_muted() ? nullptr : next_to_probe();
    const Micros min_timeout = interval_ * (1 + health_penalty_) / 3;
    const Micros direct_timeout =
        std::max(min_timeout, next ? round_trip_timeout(members_.find(*next)->second) : 0us);
    const Micros probe_timeout = std::max(direct_timeout * 2, min_timeout * 27 / 10);
    set_timer(std::max(jittered(min_timeout * 3, 0.1), probe_timeout * 11 / 10), Timer::probe);
    if (!next) return;
    const Entry& entry = members_.find(*next)->second;
    Probe probe{next_nonce(), *next, entry.member.generation, now_};
    ++probe_seq_;
    probe_answered_ = false;
    nacked_by_.clear();
    recent_probes_.push_back(probe);
    while (!recent_probes_.empty() && now_ - recent_probes_.front().sent_at > interval_ * kLateAckIntervals)
      recent_probes_.pop_front();
    send_gossip(MessageKind::ping, entry.member.address, probe.nonce,
                entry.member.state == MemberState::suspected ? probe.name : std::string_view());
    set_timer(direct_timeout, Timer::direct_timeout, probe_seq_);
    set_timer(probe_timeout, Timer::probe_timeout, probe_seq_);
  }

  // Time allowed for an ack: twice the mean round trip to this member or to all, whichever is larger.
  Micros round_trip_timeout(const Entry& entry) const {
    const double mean = std::max(round_trip_.value_or(0), entry.round_trip.value_or(0));
    return std::min(Micros{static_cast<std::int64_t>(mean * 2e6)}, interval_ * kMaxRoundTripIntervals);
  }

  // Round-robin in a random order, which is shuffled again after each round (as in SWIM); newly suspected
  // members that this node verifies itself go first.
  const std::string* next_to_probe() {
    while (!verify_queue_.empty()) {
      verifying_ = verify_queue_.back();
      verify_queue_.pop_back();
      const auto it = members_.find(verifying_);
      if (it != members_.end() && is_active_peer(it->first, it->second)) return &verifying_;
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
      while (next_probe_ < probe_order_.size()) {
        const auto it = members_.find(probe_order_[next_probe_++]);
        if (it != members_.end() && is_active_peer(it->first, it->second)) return &it->first;
      }
      probe_order_.clear();
      for (const auto& [name, entry] : members_)
        if (is_active_peer(name, entry)) probe_order_.push_back(name);
      for (std::size_t i = probe_order_.size(); i > 1; --i)
        std::swap(probe_order_[i - 1], probe_order_[random_index(i)]);
      next_probe_ = 0;
    }
    return nullptr;
  }

  void send_indirect_probes() {
    if (probe_answered_ || recent_probes_.empty()) return;
    const Probe& probe = recent_probes_.back();
    const auto it = members_.find(probe.name);
    if (it == members_.end()) return;
    send_gossip(MessageKind::ping, it->second.member.address, probe.nonce, probe.name);
    for (const Address& helper : random_peers(kIndirectProbes, probe.name)) {
      DatagramWriter writer(MessageKind::ping_request, fleet_, local_sender(), probe.nonce);
      writer.ping_request(probe.name, it->second.member.address);
      send(helper, writer, Priority::high);
    }
  }

  void finish_probe() {
    probe_history_ = static_cast<std::uint8_t>(probe_history_ << 1 | probe_answered_);
    if (probe_answered_ || recent_probes_.empty()) return;
    const Probe probe = recent_probes_.back();
    const auto it = members_.find(probe.name);
    if (it == members_.end() || it->second.member.generation != probe.generation) return;
    const Member& member = it->second.member;
    if (member.state == MemberState::leaving)
      return update_member(probe.name, [this](Member& updated) {
        updated.state = MemberState::left, updated.reported_by = name_;
      });
    suspect(probe.name, member.incarnation, name_);
    // Each helper that reported no ack confirms the suspicion.
    for (const std::string& helper : nacked_by_) suspect(probe.name, member.incarnation, helper);
  }

  void on_ping(const Sender& from, Nonce nonce) override {
    if (is_muted()) {
      if (name_taken_) send_claim(from.address, nonce);
      return;
    }
    check_sender(from);
    const auto it = members_.find(from.name);
    // The ack to a sender that is failed or suspected in this view, or known by another generation, says so,
    // so that the sender can refute it.
    const bool can_refute =
        it != members_.end() && !is_rechecked(it->second) &&
        (is_terminal(it->second.member.state) || it->second.member.state == MemberState::suspected ||
         it->second.member.generation != from.generation);
    if (joined() && !can_refute && !self_mentioned_ && is_newcomer(from.name))
      welcome(from.address, nonce);
    else
      send_gossip(MessageKind::ack, from.address, nonce, can_refute ? from.name : std::string_view(name_));
    if (!joined() && !claim_pending_) join("pinged by another node while joining");
  }

  bool is_newcomer(std::string_view name) const {
    const auto it = members_.find(name);
    return it == members_.end() || now_ - it->second.member.since < interval_ * kNewcomerIntervals;
  }

  // Acks a newcomer's ping with the updates of some random members, so that a fleet that starts all at once
  // does not get every member from its seeds.
  void welcome(const Address& to, Nonce nonce) {
    DatagramWriter writer(MessageKind::ack, fleet_, local_sender(), nonce);
    writer.add(update_of(name_, me()));
    for (std::size_t i = 0; i < kWelcomeMembers && !probe_order_.empty(); ++i) {
      const auto it = members_.find(probe_order_[random_index(probe_order_.size())]);
      if (it != members_.end() && it->second.member.state == MemberState::alive)
        writer.add(update_of(it->first, it->second.member));
    }
    send(to, writer, Priority::low);
  }

  void on_ack(const Sender& from, Nonce nonce) override {
    if (const auto indirect = indirect_probes_.find(nonce.value); indirect != indirect_probes_.end()) {
      DatagramWriter writer(MessageKind::ack, fleet_, local_sender(), indirect->second.request_nonce);
      send(indirect->second.requester, writer, Priority::high);
      indirect_probes_.erase(indirect);
      return;
    }
    if (const auto it = members_.find(from.name); it != members_.end() && it->second.notify_nonce == nonce &&
                                                  it->second.member.state == MemberState::failed &&
                                                  it->second.member.generation == from.generation) {
      // A member that this node marked as failed answers. If it is in the larger partition, this node was the
      // partitioned one: it rechecks all members it marked as failed.
      if (!is_rechecked(it->second) && !outweighs(from)) {
        recheck_failed();
        advance_generation(me().generation);
      }
      if (is_rechecked(it->second))
        update_member(from.name, [&](Member& member) {
          member.state = MemberState::alive, member.reported_by = from.name;
        });
    }
    // Guards against losing contact when the seeds are replaced before any responder has become a member.
    if (!members_.contains(from.name)) unknown_responder_ = from.address;
    check_sender(from);
    const auto probe = std::find_if(recent_probes_.begin(), recent_probes_.end(),
                                    [&](const Probe& p) { return p.nonce == nonce; });
    if (probe != recent_probes_.end()) {
      if (from.name == probe->name) {
        round_trip_.add(seconds(now_ - probe->sent_at), 0.8);
        // A late ack counts as well: it shows how long this member takes.
        if (const auto it = members_.find(from.name); it != members_.end())
          it->second.round_trip.add(seconds(now_ - probe->sent_at), 0.5);
      }
      if (probe->nonce == recent_probes_.back().nonce && !std::exchange(probe_answered_, true))
        health_penalty_ = std::max(health_penalty_ - 1, 0);
    }
    if (!joined() && !claim_pending_ && !name_taken_) {
      join("a seed replied");
      const std::vector<Address> known = random_peers(1, {});
      start_sync(known.empty() ? from.address : known.front());
    }
    if (from.digest != digest() && joined() && now_ - last_sync_at_ >= interval_) start_sync(from.address);
  }

  void on_nack(const Sender& from, Nonce nonce) override {
    if (!recent_probes_.empty() && recent_probes_.back().nonce == nonce &&
        nacked_by_.size() < kIndirectProbes)
      nacked_by_.emplace_back(from.name);
  }

  void on_ping_request(const Sender& from, Nonce nonce, std::string_view target,
                       const Address& address) override {
    if (is_muted() || indirect_probes_.size() >= kMaxIndirectProbes) return;
    const Nonce ping_nonce = next_nonce();
    indirect_probes_[ping_nonce.value] = {nonce, from.address};
    const auto it = members_.find(target);
    send_gossip(MessageKind::ping, address, ping_nonce, it == members_.end() ? std::string_view() : target);
    const Micros timeout = it == members_.end() ? 0us : round_trip_timeout(it->second);
    set_timer(std::max(interval_ / 2, timeout), Timer::indirect_timeout, ping_nonce.value);
  }

  void indirect_probe_expired(Nonce ping_nonce) {
    const auto it = indirect_probes_.find(ping_nonce.value);
    if (it == indirect_probes_.end()) return;
    DatagramWriter writer(MessageKind::nack, fleet_, local_sender(), it->second.request_nonce);
    send(it->second.requester, writer, Priority::high);
    indirect_probes_.erase(it);
  }

  // Suspicion and failure.

  // At most as many as there are other alive members.
  std::size_t expected_confirmations(std::string_view suspected) const {
    std::size_t others = 0;
    for (const auto& [name, entry] : members_) {
      others += name != name_ && name != suspected && entry.member.state == MemberState::alive;
      if (others == kMaxConfirmations) break;
    }
    return others;
  }

  // From the maximum without confirmations down to the minimum with all that are expected, logarithmically
  // (as in Lifeguard).
  Micros suspicion_timeout(std::string_view name, const Entry& entry) const {
    const Micros min_timeout = interval_ * kMinSuspicionIntervals;
    const std::size_t expected = expected_confirmations(name);
    if (expected == 0 || entry.failure_reported) return min_timeout;
    const std::size_t confirmed = std::min(entry.suspected_by.size() - 1, expected);
    const double remaining =
        1 - std::log(1.0 + static_cast<double>(confirmed)) / std::log(1.0 + static_cast<double>(expected));
    // Without any confirmation, this node itself may be the faulty one.
    const double max_factor = kMaxSuspicionFactor * (confirmed == 0 ? 1 + health_penalty_ : 1);
    return Micros{static_cast<std::int64_t>(static_cast<double>(min_timeout.count()) *
                                            (1 + (max_factor - 1) * remaining))};
  }

  void suspect(std::string_view name, std::uint32_t incarnation, std::string_view reported_by) {
    const auto it = members_.find(name);
    Entry& entry = it->second;
    Member& member = entry.member;
    if (incarnation < member.incarnation ||
        (member.state != MemberState::alive && member.state != MemberState::suspected))
      return;
    if (member.state == MemberState::suspected && incarnation == member.incarnation) {
      if (entry.suspected_by.size() > kMaxConfirmations ||
          std::find(entry.suspected_by.begin(), entry.suspected_by.end(), reported_by) !=
              entry.suspected_by.end())
        return;
      entry.suspected_by.emplace_back(reported_by);
      member.reported_by = reported_by;
      queue_update(it->first);  // each confirmation is spread
    } else {
      update_member(name, [&](Member& updated) {
        updated.state = MemberState::suspected;
        updated.incarnation = incarnation;
        updated.reported_by = reported_by;
      });
      entry.suspected_by.assign(1, std::string(reported_by));
      entry.suspected_since = now_;
      notify_accused(name, true);
      if (reported_by != name_ && std::generate_canonical<double, 32>(rng_) <
                                      kVerifiersPerSuspicion / static_cast<double>(live_count_ + 1))
        verify_queue_.emplace_back(name);
    }
    if (!std::exchange(suspicion_timer_set_, true)) set_timer(interval_ / 4, Timer::suspicions);
  }

  void check_suspicions() {
    suspicion_timer_set_ = false;
    std::vector<std::string> expired;
    bool pending = false;
    for (const auto& [name, entry] : members_) {
      if (entry.member.state != MemberState::suspected) continue;
      if (now_ - entry.suspected_since >= suspicion_timeout(name, entry))
        expired.push_back(name);
      else
        pending = true;
    }
    for (const std::string& name : expired)
      update_member(name, [](Member& member) { member.state = MemberState::failed; });
    if (pending && !std::exchange(suspicion_timer_set_, true)) set_timer(interval_ / 4, Timer::suspicions);
  }

  // Updates.

  // Tells a sender that this view holds a later generation of its name, or holds it as failed.
  void check_sender(const Sender& from) {
    const auto it = members_.find(from.name);
    if (it == members_.end() || it->first == name_) return;
    const Member& member = it->second.member;
    if (member.generation > from.generation ||
        (member.generation == from.generation && member.state == MemberState::failed))
      notify_accused(from.name);
  }

  void on_update(const Sender& from, const MemberUpdate& update) override {
    if (update.name == name_) return handle_own_update(from, update);
    if (is_muted()) return;
    const auto sender = members_.find(from.name);
    // Reports from a sender that is failed in this view are ignored until it has refuted its failure.
    if (sender != members_.end() && update.name != from.name && update.state > MemberState::alive &&
        is_terminal(sender->second.member.state) && sender->second.member.generation >= from.generation)
      return;
    const auto it = members_.find(update.name);
    if (it == members_.end()) return add_member(from, update);
    Entry& entry = it->second;
    const Member& member = entry.member;
    if (update.generation < member.generation) return;
    if (update.generation > member.generation) {
      if (update.state != MemberState::joining) apply_newer(update.name, update);
      return;
    }
    if (is_terminal(member.state)) {
      // It is reported as running, by itself or by another member: it has to learn that it needs a later
      // generation.
      if (member.state == MemberState::failed && update.state < MemberState::failed)
        notify_accused(update.name);
      if (member.state == MemberState::failed && update.state == MemberState::left)
        update_member(update.name, [&](Member& updated) {
          updated.state = MemberState::left, updated.reported_by = update.reported_by;
        });
      return;
    }
    switch (update.state) {
      case MemberState::joining:
        return;
      case MemberState::alive:
      case MemberState::leaving:
        if (member.state == MemberState::leaving && update.state != MemberState::leaving) return;
        if (update.incarnation > member.incarnation) apply_newer(update.name, update);
        return;
      case MemberState::suspected:
        if (!update.reported_by.empty()) suspect(update.name, update.incarnation, update.reported_by);
        return;
      case MemberState::failed:
        if (member.state == MemberState::leaving)
          return update_member(update.name, [&](Member& updated) {
            updated.state = MemberState::left, updated.reported_by = update.reported_by;
          });
        // Only suspected at first: after a partition each side has marked the other as failed, and the member
        // may well be running.
        suspect(update.name, member.incarnation, update.reported_by.empty() ? from.name : update.reported_by);
        entry.failure_reported = true;
        notify_accused(update.name);
        return;
      case MemberState::left:
        return update_member(update.name, [&](Member& updated) {
          updated.state = MemberState::left, updated.reported_by = update.reported_by;
        });
    }
  }

  void apply_newer(std::string_view name, const MemberUpdate& update) {
    // A suspicion that this node reported is refuted: this node itself may be the faulty one.
    const auto& suspected_by = members_.find(name)->second.suspected_by;
    if (std::find(suspected_by.begin(), suspected_by.end(), name_) != suspected_by.end())
      health_penalty_ = std::min(health_penalty_ + 1, kMaxHealthPenalty);
    const bool suspected = update.state == MemberState::suspected;
    const bool failed = update.state == MemberState::failed;
    update_member(name, [&](Member& member) {
      copy_update(member, update, suspected || failed ? update.reported_by : update.name);
      if (suspected) member.state = MemberState::alive;
    });
    if (suspected && !update.reported_by.empty()) suspect(name, update.incarnation, update.reported_by);
  }

  void add_member(const Sender& from, const MemberUpdate& update) {
    if (update.state == MemberState::joining || update.state == MemberState::left) return;
    // Failed members are added only while this node is new. Later, those that it has forgotten would come
    // back from others that still remember them.
    if (update.state == MemberState::failed && now_ - joined_at_ > interval_ * kLearnFailedIntervals) return;
    if (!make_room()) return;
    const auto it = members_.try_emplace(std::string(update.name)).first;
    Entry& entry = it->second;
    const bool suspected = update.state == MemberState::suspected;
    copy_update(entry.member, update,
                suspected || is_terminal(update.state) ? update.reported_by : from.name);
    if (suspected) entry.member.state = MemberState::alive;
    entry.member.since = now_;
    update_digest(it->first, entry.member, DigestOp::add);
    // Inserted at a random position of the current probe round instead of waiting for the next one.
    if (is_active_peer(it->first, entry)) {
      probe_order_.push_back(it->first);
      if (next_probe_ < probe_order_.size())
        std::swap(probe_order_.back(),
                  probe_order_[next_probe_ + random_index(probe_order_.size() - next_probe_)]);
    }
    queue_update(it->first, from.from_sync);
    delegate_.on_member_changed(it->first, entry.member, true);
    if (suspected && !update.reported_by.empty()) suspect(it->first, update.incarnation, update.reported_by);
  }

  void handle_own_update(const Sender& from, const MemberUpdate& update) {
    self_mentioned_ = true;
    const Member& member = me();
    // About this process.
    if (update.generation == member.generation && update.address == member.address) {
      if (update.state == MemberState::failed || update.state == MemberState::left) {
        if (member.state == MemberState::leaving) return;
        // The smaller partition yields, so that a single partitioned node does not force all others into a
        // new generation.
        if (outweighs(from)) return;
        health_penalty_ = std::min(health_penalty_ + 1, kMaxHealthPenalty);
        recheck_failed();
        advance_generation(update.generation);
      } else if (update.incarnation > member.incarnation ||
                 (update.state == MemberState::suspected && update.incarnation == member.incarnation)) {
        if (member.state == MemberState::joining) return;
        health_penalty_ = std::min(health_penalty_ + 1, kMaxHealthPenalty);
        update_member(name_, [&](Member& updated) { updated.incarnation = update.incarnation + 1; });
        if (!is_muted()) send_gossip(MessageKind::gossip, from.address, next_nonce(), name_);
      }
      return;
    }
    // About an earlier process at the same address.
    if (update.generation < member.generation && update.address == member.address) return;
    if (is_terminal(update.state) || update.address == member.address) {
      if (update.generation >= member.generation && !is_muted()) advance_generation(update.generation);
      return;
    }
    // Another process uses this name at another address: the one that started later must stay out.
    if (update.state == MemberState::joining || update.state == MemberState::leaving) return;
    highest_rival_generation_ = std::max(highest_rival_generation_, update.generation);
    if (claim_pending_ || name_taken_) return;
    claim_pending_ = true;
    rival_address_ = update.address;
    send_claim(rival_address_, next_nonce());
    set_timer(interval_ * kClaimTimeoutIntervals / 2, Timer::claim_timeout, ++claim_seq_);
  }

  // After a partition: members that this node marked as failed while it was partitioned get the chance to
  // answer; an ack proves that they were running all the time.
  void recheck_failed() {
    for (GossipEntry& entry : members_) {
      if (entry.second.member.state != MemberState::failed) continue;
      entry.second.recheck_until = now_ + interval_ * kRecheckIntervals;
      dequeue_update(entry);
    }
  }

  // How far this node's failure reports can be trusted: the number of members it considers healthy times the
  // number of its last eight probes that were answered. Compared between the two sides of a partition.
  std::uint32_t weight() const {
    return static_cast<std::uint32_t>(healthy_count_) *
           static_cast<std::uint32_t>(std::popcount(probe_history_));
  }
  bool outweighs(const Sender& other) const {
    return std::pair(weight(), digest()) > std::pair(other.weight, other.digest);
  }

  bool is_rechecked(const Entry& entry) const { return entry.recheck_until > now_; }

  // Two processes with the same name.

  void send_claim(const Address& to, Nonce nonce) {
    DatagramWriter writer(MessageKind::name_claim, fleet_, local_sender(), nonce);
    writer.name_claim(now_ - started_at_);
    send(to, writer, Priority::high);
  }

  void on_name_claim(const Sender& from, Micros rival_uptime) override {
    if (from.name != name_ || from.address == me().address) return;
    const Micros uptime = now_ - started_at_;
    const bool older = uptime != rival_uptime ? uptime > rival_uptime : me().address < from.address;
    highest_rival_generation_ = std::max(highest_rival_generation_, from.generation);
    if (older && !name_taken_) {
      // A later generation supersedes what the fleet has learned of the younger process.
      send_claim(from.address, next_nonce());
      if (from.generation >= me().generation) advance_generation(from.generation);
      return;
    }
    if (older) return;
    rival_address_ = from.address;
    rival_heard_at_ = now_;
    claim_pending_ = false;
    ++claim_seq_;
    if (!std::exchange(name_taken_, true)) {
      char line[200];
      std::snprintf(
          line, sizeof line, "name-in-use name=%s elder=%s elder_running_ms=%lld; not joining the fleet",
          name_.c_str(), to_text(from.address).c_str(), static_cast<long long>(rival_uptime.count() / 1000));
      delegate_.log(line);
      update_member(name_, [](Member& member) { member.state = MemberState::joining; });
      gossip_queue_.clear();
      for (auto& [name, entry] : members_) entry.transmits_left = 0;
    }
    set_timer(jittered(interval_ * kMaxSeedRetryIntervals, 0.3), Timer::claim_timeout, claim_seq_);
  }

  void claim_expired() {
    if (name_taken_) {
      // Repeated indefinitely, since the older process may exit.
      if (now_ - rival_heard_at_ < interval_ * 3 * kMaxSeedRetryIntervals) {
        send_claim(rival_address_, next_nonce());
        return set_timer(jittered(interval_ * kMaxSeedRetryIntervals, 0.3), Timer::claim_timeout, claim_seq_);
      }
      name_taken_ = false;
    }
    if (claim_pending_ && claim_attempts_++ % 2 == 0) {
      send_claim(rival_address_, next_nonce());
      return set_timer(interval_ * kClaimTimeoutIntervals / 2, Timer::claim_timeout, claim_seq_);
    }
    claim_pending_ = false;
    advance_generation(highest_rival_generation_);
    if (joined()) return;
    // Any seed that answers now knows no other process of this name.
    seed_retry_delay_ = Micros{0};
    ping_seeds();
    join("the name is no longer in use");
  }

  // Anti-entropy sync of whole views.

  void start_sync(const Address& with) {
    if (is_muted()) return;
    last_sync_at_ = now_;
    DatagramWriter writer(MessageKind::sync_digest, fleet_, local_sender(), next_nonce());
    writer.sync_digest(false, buckets_);
    send(with, writer, Priority::low);
  }

  void on_sync_digest(const Sender& from, bool answered,
                      std::span<const std::uint64_t, kDigestBuckets> digests) override {
    if (is_muted() || !joined()) return;
    std::vector<MemberUpdate> updates;
    for (const auto& [name, entry] : members_) {
      if (entry.member.state == MemberState::joining || is_rechecked(entry)) continue;
      if (digests[bucket_of(name)] != buckets_[bucket_of(name)])
        updates.push_back(update_of(name, entry.member));
    }
    // If the differences exceed one reply, it starts at a random position; later syncs bring the rest.
    if (!updates.empty())
      std::rotate(updates.begin(),
                  updates.begin() + static_cast<std::ptrdiff_t>(random_index(updates.size())), updates.end());
    std::size_t next = 0;
    for (std::size_t n = 0; n < kMaxSyncDatagrams && next < updates.size(); ++n) {
      DatagramWriter writer(MessageKind::sync_updates, fleet_, local_sender(), next_nonce());
      while (next < updates.size() && writer.add(updates[next])) ++next;
      send(from.address, writer, Priority::low);
    }
    if (answered) return;
    DatagramWriter reply(MessageKind::sync_digest, fleet_, local_sender(), next_nonce());
    reply.sync_digest(true, buckets_);
    send(from.address, reply, Priority::low);
  }

  // View queries.

  // As shown to observers: a member that is being rechecked counts as suspected.
  MemberUpdate public_update(std::string_view name, const Entry& entry) const {
    MemberUpdate out = update_of(name, entry.member);
    if (is_rechecked(entry)) out.state = MemberState::suspected;
    return out;
  }

  void on_view_query(Nonce nonce, std::string_view after) override {
    auto it = after.empty() ? members_.begin() : members_.upper_bound(after);
    // The flag for the last page precedes the updates, but is known only once they have been added. So the
    // page is written as the last one, and written again without the flag if not everything fits.
    DatagramWriter last_page(MessageKind::view_page, fleet_, local_sender(), nonce);
    last_page.view_page(true);
    auto end = it;
    for (; end != members_.end(); ++end) {
      if (end->second.member.state == MemberState::left) continue;
      if (!last_page.add(public_update(end->first, end->second), now_ - end->second.member.since)) break;
    }
    if (end == members_.end()) return send_view_page(last_page);
    DatagramWriter page(MessageKind::view_page, fleet_, local_sender(), nonce);
    page.view_page(false);
    for (; it != end; ++it)
      if (it->second.member.state != MemberState::left)
        page.add(public_update(it->first, it->second), now_ - it->second.member.since);
    send_view_page(page);
  }

  // At most one line per 10 s.
  void log_dropped(DecodeError error) {
    if (drop_logged_at_ != kNever && now_ - drop_logged_at_ < 10s) return;
    drop_logged_at_ = now_;
    char line[160];
    std::snprintf(line, sizeof line, "datagram dropped why=%s from=%s", name_of(error),
                  to_text(source_).c_str());
    delegate_.log(line);
  }

  struct Probe {
    Nonce nonce;
    std::string name;
    Generation generation;
    Micros sent_at;
  };

  ViewDelegate& delegate_;
  std::string fleet_, name_;
  std::vector<Address> seeds_;
  std::optional<Address> unknown_responder_;  // sender of an ack that was not a member at that time
  Micros interval_, forget_after_;
  std::size_t max_members_;
  std::knuth_b rng_;
  Entries members_;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::size_t live_count_ = 0, healthy_count_ = 0;  // members in the digest, and those of them not suspected
  std::vector<GossipEntry*> gossip_queue_;
  std::vector<std::string> probe_order_, verify_queue_;
  std::string verifying_;  // taken from verify_queue_
  std::size_t next_probe_ = 0;
  std::deque<Probe> recent_probes_;  // the current one last
  std::uint64_t probe_seq_ = 0, seed_seq_ = 0, claim_seq_ = 0, last_nonce_ = 0;
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;  // by the nonce of this node's ping
  DecayingMean round_trip_;                                 // seconds
  std::vector<std::string> nacked_by_;  // helpers that got no ack from the member being probed
  // Local health as in Lifeguard: grows when a suspicion reported by this node is refuted, when others report
  // this node as suspected or failed, and after a pause of the process; shrinks with each answered probe.
  // Lengthens probe intervals and timeouts.
  int health_penalty_ = 0;
  int claim_attempts_ = 0;
  std::uint8_t probe_history_ = 0;  // one bit for each of the last eight probes, set if it was answered
  bool probe_answered_ = false, gossip_timer_set_ = false, suspicion_timer_set_ = false, muted_ = false;
  bool claim_pending_ = false, name_taken_ = false;
  // The current datagram has an update about this node; its sender awaits a reply.
  bool self_mentioned_ = false;
  Address rival_address_, source_;
  Generation highest_rival_generation_;
  Micros now_{0}, started_at_ = kNever, probe_due_at_ = Micros::max(), refilled_at_{0}, seed_retry_delay_{0},
                  last_sync_at_{0}, rival_heard_at_{0}, joined_at_{0}, drop_logged_at_ = kNever;
  double send_budget_ = kSendBurstBytes, query_budget_ = kSendBurstBytes;
  ViewCounters counters_;
};

View::View(ViewDelegate& delegate, std::string fleet, std::string name, Generation generation,
           const Address& advertised, std::string zone, std::string version, std::vector<Address> seeds,
           Micros probe_interval, Micros forget_after, std::size_t max_members, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(delegate, std::move(fleet), std::move(name), generation, advertised,
                                   std::move(zone), std::move(version), std::move(seeds), probe_interval,
                                   forget_after, max_members, seed)) {}
View::~View() = default;
void View::set_time(Micros now) { impl_->set_time(now); }
void View::start() { impl_->start(); }
void View::received(const Address& from, std::string_view bytes) { impl_->received(from, bytes); }
void View::timer_expired(TimerId timer) { impl_->timer_expired(timer); }
void View::set_seeds(std::vector<Address> seeds) { impl_->set_seeds(std::move(seeds)); }
void View::leave() { impl_->leave(); }
void View::set_metadata(std::string_view metadata) { impl_->set_metadata(metadata); }
void View::pick_members(std::size_t same_zone, std::size_t other_zones, std::vector<Address>& to) {
  impl_->pick_members(same_zone, other_zones, to);
}
std::uint64_t View::digest() const { return impl_->digest(); }
unsigned View::active_count() const { return impl_->active_count(); }
bool View::joined() const { return impl_->joined(); }
const ViewCounters& View::counters() const { return impl_->counters(); }

}  // namespace flintweir::members
