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

// Ratios to the interval between two probes.
constexpr int kLeastDoubt = 4;   // a suspicion that enough others share stands so long before the verdict
constexpr int kDoubtSpread = 6;  // and one that nobody shares, so many times that
constexpr int kGossipParts = 3;  // gossip goes out so often in an interval while there is any
constexpr int kDeadAsked = 4;    // one of the dead is asked in so many intervals
constexpr int kSeedFirst = 1, kSeedMost = 8;  // pauses between two rounds of the seeds, jittered
constexpr int kJoinAlone = 7;    // seeds that are silent for so long: this node is the first of its fleet
constexpr int kClaimWaits = 5;   // whoever holds this node's name and runs has answered by then
constexpr int kLeftKept = 200;   // those that left are remembered so long, longer than a datagram travels
constexpr int kLongestTrip = 4;  // a round trip of that is still waited for
constexpr int kPardon = 10;      // whoever was called failed by a node cut off has answered by then
constexpr int kLearnsDead = 40;  // after it joined a node takes in those that others call failed
// Numbers of others.
constexpr std::size_t kHelpers = 3;   // asked to try where a member does not answer
constexpr std::size_t kSharers = 3;   // accusers beside the first that make a verdict quick
constexpr double kLookers = 6;        // members that look for themselves at once when they hear a suspicion
constexpr std::size_t kGossipTo = 3;  // members that a round of gossip goes to
constexpr int kSpreadLeast = 3;  // each word is sent so often, and once more for each doubling of the fleet
constexpr std::size_t kWordsAtMost = 40;  // more never fit into one datagram
constexpr int kNewcomer = 10;             // intervals that one is new for
constexpr std::size_t kIntroduced = 4;    // others that a newcomer is told of
constexpr int kMostHealth = 4;  // of one's own bad health: intervals and waits grow by as many times
constexpr std::size_t kSyncDatagrams = 4;  // of words, in answer to one digest
constexpr std::size_t kMostHelped = 64;    // questions on others' behalf that are out at a time
// A node's bytes a second; a burst may take as much as that at once. What must be answered goes first.
constexpr double kBytesPerSecond = 64 << 10, kBytesKept = 16 << 10;

enum class Due : std::uint64_t {
  probe = 1,
  direct,
  round_over,
  gossip,
  doubts,
  dead,
  seeds,
  alone,
  claimed,
  helped
};

TimerId wake_id(Due due, std::uint64_t turn) { return TimerId{static_cast<std::uint64_t>(due) << 56 | turn}; }

}  // namespace

class View::Impl final : DatagramHandler {
 public:
  Impl(ViewDelegate& delegate, std::string fleet, std::string name, Generation generation,
       const Address& told, std::string zone, std::string version, std::vector<Address> seeds,
       Micros interval, Micros forget, std::size_t most, std::uint64_t seed)
      : delegate_(delegate),
        fleet_(std::move(fleet)),
        name_(std::move(name)),
        interval_(interval),
        forget_(forget),
        most_(most),
        chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {
    Member& me = members_.try_emplace(name_).first->second.facts;
    me.generation = generation;
    me.state = MemberState::joining;
    me.address = told;
    me.zone = std::move(zone);
    me.version = std::move(version);
    me.reported_by = name_;
    this->set_seeds(std::move(seeds));
    // A restart's questions are not those of the process before it.
    nonces_ = mix(seed ^ generation.value) >> 9;
  }

  void pick_members(std::size_t near, std::size_t far, std::vector<Address>& to) {
    const std::string& zone = members_.at(name_).facts.zone;
    std::vector<Address> of_near, of_far;
    // Where zones are few, a few tries find a member of each kind.
    std::set<std::size_t> drawn;
    for (std::size_t i = 0; !order_.empty() && i < 8 * (near + far); ++i) {
      const std::size_t no = below(order_.size());
      if (!drawn.insert(no).second) continue;
      const auto it = members_.find(order_[no]);
      if (it == members_.end() || !reachable(it->first, it->second)) continue;
      (it->second.facts.zone == zone ? of_near : of_far).push_back(it->second.facts.address);
    }
    const std::size_t far_most = near > 0 && of_near.empty() ? near + far : far,
                      near_most = far > 0 && of_far.empty() ? near + far : near;
    of_near.resize(std::min(of_near.size(), near_most));
    of_far.resize(std::min(of_far.size(), far_most));
    to.insert(to.end(), of_near.begin(), of_near.end());
    to.insert(to.end(), of_far.begin(), of_far.end());
  }

  void set_time(Micros now) {
    now_ = std::max(now, now_);
    // Guards against a process that was stopped and accuses others of its own silence: all that was out is
    // forgotten, and every doubt begins anew.
    if (due_ != Micros::max() && now_ > due_ + interval_ / 2) paused(now_ - due_);
  }

  void start() {
    began_ = now_;
    me().since = now_;
    refill_at_ = now_;
    wake(jittered(interval_, 0.5), Due::probe);
    wake(jittered(interval_ * kDeadAsked, 0.5), Due::dead);
    if (seeds_.empty()) return join("no seeds");
    ask_seeds();
    wake(interval_ * kJoinAlone, Due::alone);
  }

  void received(const Address& from, std::string_view bytes) {
    ++counters_.received;
    came_from_ = from;
    doubted_ = false;
    tick();
    if (const DecodeError wrong = decode(bytes, fleet_, *this); wrong != DecodeError::none) {
      ++counters_.decode_errors[static_cast<std::size_t>(wrong)];
      complain(wrong);
    }
  }

  void timer_expired(TimerId timer) {
    const auto due = static_cast<Due>(timer.value >> 56);
    const std::uint64_t turn = timer.value & ((1ull << 56) - 1);
    tick();
    switch (due) {
      case Due::probe:
        return probe();
      case Due::direct:
        if (turn == probe_turn_) try_others();
        return;
      case Due::round_over:
        if (turn == probe_turn_) round_over();
        return;
      case Due::gossip:
        return spread_news();
      case Due::doubts:
        return weigh_doubts();
      case Due::dead:
        return ask_dead();
      case Due::seeds:
        if (turn == seed_turn_) ask_seeds();
        return;
      case Due::alone:
        if (me().state == MemberState::joining && !claiming_ && !rival_) join("no seed answers");
        return;
      case Due::claimed:
        if (turn == claim_turn_) claim_over();
        return;
      case Due::helped:
        return help_over(Nonce{turn});
    }
  }

  void leave() {
    Entry& mine = members_.find(name_)->second;
    if (mine.facts.state == MemberState::joining) {
      silent_ = true;
      return;
    }
    change(name_, [](Member& m) {
      ++m.incarnation;
      m.state = MemberState::leaving;
    });
    // Also to those whom gossip would reach only after this process has gone.
    for (const Address& to : some(kGossipTo * 2, {})) send_gossip(MessageKind::gossip, to, next_nonce());
  }

  void set_seeds(std::vector<Address> seeds) {
    seeds_ = std::move(seeds);
    std::erase(seeds_, me().address);
    seed_pause_ = Micros{0};  // the next round is the first of these
  }

  void set_metadata(std::string_view metadata) {
    if (me().metadata == metadata) return;
    const auto take = [&](Member& m) {
      m.metadata = std::string(metadata.substr(0, kMaxMetadataBytes));
      ++m.incarnation;
    };
    began_ == kNever ? take(me()) : change(name_, take);
  }

  std::uint64_t digest() const { return XXH3_64bits(buckets_.data(), sizeof buckets_); }

  unsigned active_count() const {
    if (me().state == MemberState::joining) return 0;
    unsigned out = 0;
    for (const auto& [name, e] : members_) out += e.facts.state != MemberState::left;
    return out;
  }

  bool joined() const { return me().state != MemberState::joining; }

  const ViewCounters& counters() const { return counters_; }

 private:
  struct Entry {
    Member facts;
    std::vector<std::string> accusers;  // of a suspicion, the first that was heard of first
    Micros doubt_from = kNever;
    bool verdict_said = false;       // another has come to the verdict: the least doubt is enough
    int sends = 0;                   // that its word has left to be spread
    Micros told_at = kNever;         // that it is called failed
    Micros pardoned_until = kNever;  // this node was cut off when it called it failed, and asks anew
    Nonce asked_as;                  // when it was last told or asked
    DecayingMean trip;               // there and back, in seconds
  };
  using Entries = std::map<std::string, Entry, std::less<>>;
  using News = Entries::value_type;
  struct Helped {
    Nonce asked_as;  // by whom it was asked
    Address asker;
  };

  Member& me() { return members_.find(name_)->second.facts; }
  const Member& me() const { return members_.find(name_)->second.facts; }
  bool silent() const { return silent_ || rival_; }

  // The clock's own work.

  void wake(Micros in, Due due, std::uint64_t turn = 0) {
    if (due == Due::probe) due_ = now_ + in;
    delegate_.set_timer(in, wake_id(due, turn));
  }

  void tick() {
    bytes_left_ = std::min(kBytesKept, bytes_left_ + kBytesPerSecond * seconds(now_ - refill_at_));
    shown_left_ = std::min(kBytesKept, shown_left_ + kBytesPerSecond * seconds(now_ - refill_at_));
    refill_at_ = now_;
  }

  void paused(Micros by) {
    due_ = now_ + interval_;  // the wake that is late comes in a moment
    probed_.clear();
    ++probe_turn_;
    answers_ = 0;
    helped_.clear();
    health_ = std::min(health_ + 1, kMostHealth);
    for (auto& [name, e] : members_)
      if (e.facts.state == MemberState::suspected) e.doubt_from += by;
  }

  Micros jittered(Micros mean, double by) {
    const double off = (2 * std::generate_canonical<double, 32>(chance_) - 1) * by;
    return Micros{static_cast<std::int64_t>(static_cast<double>(mean.count()) * (1 + off))};
  }
  std::size_t below(std::size_t n) {
    return std::min(n - 1, static_cast<std::size_t>(std::generate_canonical<double, 32>(chance_) *
                                                    static_cast<double>(n)));
  }
  Nonce next_nonce() { return Nonce{++nonces_}; }  // fits beside a kind in a wake's number

  // Sending.

  Sender from() const { return {name_, me().generation, me().address, digest(), weight(), false}; }

  // For whoever looks on, out of a part of its own: neither takes from the other.
  void show(DatagramWriter& writer) {
    const std::string_view bytes = writer.finish();
    if (shown_left_ < 0) return;
    shown_left_ -= static_cast<double>(bytes.size());
    delegate_.send(came_from_, bytes);
  }

  // Members that wait for an answer go first. News, views and answers to newcomers leave a quarter for them:
  // a fleet that starts at once would else use up what its seeds may send.
  enum class Rank { owed, spare };

  void send(const Address& to, DatagramWriter& writer, Rank rank) {
    const std::string_view bytes = writer.finish();
    if (bytes_left_ < (rank == Rank::owed ? 0 : kBytesKept / 4)) {
      ++counters_.throttled;
      return;
    }
    bytes_left_ -= static_cast<double>(bytes.size());
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    delegate_.send(to, bytes);
  }

  static MemberUpdate update_of(std::string_view name, const Member& m) {
    return {name,   m.generation, m.incarnation, m.state,      m.address,
            m.zone, m.version,    m.metadata,    m.reported_by};
  }

  // A datagram that carries, beside `first`, as much gossip as fits.
  void send_gossip(MessageKind kind, const Address& to, Nonce nonce, std::string_view first = {}) {
    DatagramWriter writer(kind, fleet_, from(), nonce);
    if (const auto it = members_.find(first); it != members_.end())
      writer.add(update_of(first, it->second.facts));
    // Where much has to be said, questions and answers go out bare rather than not at all.
    if (kind != MessageKind::gossip && bytes_left_ < kBytesKept / 2) return send(to, writer, Rank::owed);
    // Those least spread first.
    const auto fits = news_.begin() + static_cast<std::ptrdiff_t>(std::min(news_.size(), kWordsAtMost));
    std::partial_sort(news_.begin(), fits, news_.end(),
                      [](const News* a, const News* b) { return a->second.sends > b->second.sends; });
    for (auto it = news_.begin(); it != fits; ++it) {
      if ((*it)->first == first) continue;
      if (!writer.add(update_of((*it)->first, (*it)->second.facts))) break;
      --(*it)->second.sends;
    }
    std::erase_if(news_, [](const News* n) { return n->second.sends <= 0; });
    send(to, writer, kind == MessageKind::gossip ? Rank::spare : Rank::owed);
  }

  // Spreads what is known of a member; less of it where others learn it by exchange as well, as they do where
  // much is new at once.
  void tell(std::string_view name, bool exchanged = false) {
    News& n = *members_.find(name);
    if (n.second.sends <= 0) news_.push_back(&n);
    n.second.sends =
        exchanged || news_.size() > kWordsAtMost
            ? kSpreadLeast
            : kSpreadLeast + static_cast<int>(std::ceil(std::log2(static_cast<double>(live_) + 2)));
    if (!std::exchange(gossip_due_, true)) wake(jittered(interval_ / kGossipParts / 2, 0.5), Due::gossip);
  }

  void unspread(News& n) {
    n.second.sends = 0;
    std::erase(news_, &n);
  }

  void spread_news() {
    gossip_due_ = false;
    if (news_.empty() || silent()) return;
    for (const Address& to : some(kGossipTo, {})) {
      if (news_.empty()) break;
      send_gossip(MessageKind::gossip, to, next_nonce());
    }
    gossip_due_ = true;
    wake(jittered(interval_ / kGossipParts, 0.2), Due::gossip);
  }

  // Members drawn by chance whom a datagram may reach, by their addresses.
  std::vector<Address> some(std::size_t n, std::string_view but) {
    std::vector<Address> out;
    std::set<std::size_t> drawn;
    for (std::size_t i = 0; !order_.empty() && i < 4 * n && out.size() < n; ++i) {
      const std::size_t no = below(order_.size());
      if (!drawn.insert(no).second || order_[no] == but) continue;
      const auto it = members_.find(order_[no]);
      if (it != members_.end() && reachable(it->first, it->second)) out.push_back(it->second.facts.address);
    }
    return out;
  }

  bool reachable(std::string_view name, const Entry& e) const {
    return name != name_ && !is_terminal(e.facts.state);
  }

  // The digest: of all that is not gone for good, so that what is forgotten at different times makes no two
  // views differ.

  static std::size_t bucket(std::string_view name) {
    return XXH3_64bits(name.data(), name.size()) % kDigestBuckets;
  }
  static std::uint64_t digest_of(std::string_view name, const Member& m) {
    const std::uint64_t own[] = {m.generation.value, m.incarnation, static_cast<std::uint64_t>(m.state),
                                 m.address.port};
    std::uint64_t h = XXH3_64bits_withSeed(own, sizeof own, XXH3_64bits(name.data(), name.size()));
    h = XXH3_64bits_withSeed(m.address.bytes.data(), m.address.bytes.size(), h);
    return XXH3_64bits_withSeed(m.metadata.data(), m.metadata.size(), h);
  }
  static bool counts_in_digest(const Member& m) {
    return !is_terminal(m.state) && m.state != MemberState::joining;
  }
  enum class Way { in, out };
  void digest(std::string_view name, const Member& m, Way way) {
    if (!counts_in_digest(m)) return;
    buckets_[bucket(name)] ^= digest_of(name, m);  // the same both ways
    const std::size_t one = way == Way::in ? 1 : std::size_t(-1);
    live_ += one;
    if (m.state != MemberState::suspected) well_ += one;
  }

  // Changes one member's facts; all that hangs on them follows.
  template <class Change>
  void change(std::string_view name, Change change) {
    const auto it = members_.find(name);
    Entry& e = it->second;
    const MemberState was = e.facts.state;
    const Generation generation = e.facts.generation;
    e.pardoned_until = kNever;
    digest(name, e.facts, Way::out);
    change(e.facts);
    digest(name, e.facts, Way::in);
    if (e.facts.state != MemberState::suspected) {
      e.accusers.clear();
      e.doubt_from = kNever;
      e.verdict_said = false;
    }
    tell(it->first);
    if (e.facts.state == was && e.facts.generation == generation) return;
    e.facts.since = now_;
    delegate_.on_member_changed(it->first, e.facts, false);
  }

  void take_facts(Member& m, const MemberUpdate& w, std::string_view by) {
    m.generation = w.generation;
    m.incarnation = w.incarnation;
    m.state = w.state;
    m.address = w.address;
    m.zone = w.zone;
    m.version = w.version;
    m.metadata = w.metadata;
    m.reported_by = by;
  }

  void start_anew(Generation over) {
    change(name_, [&](Member& m) {
      m.generation = Generation{std::max(m.generation.value, over.value) + 1};
      m.incarnation = 0;
    });
  }

  void join(const char* how) {
    if (me().state != MemberState::joining) return;
    joined_at_ = now_;
    change(name_, [](Member& m) { m.state = MemberState::alive; });
    char line[96];
    std::snprintf(line, sizeof line, "joined why=\"%s\"", how);
    delegate_.log(line);
  }

  // Joining, and finding those who were lost.

  void ask_seeds() {
    // Also once joined, as long as a seed is no member here: beyond it may be another part of the fleet.
    bool missing = false;
    const auto ask = [&](const Address& seed) {
      if (joined() && known_at(seed)) return;
      missing = true;
      if (!silent()) send_gossip(MessageKind::ping, seed, next_nonce(), name_);
    };
    for (const Address& seed : seeds_) ask(seed);
    if (met_) ask(*met_);
    const auto fleet = static_cast<std::int64_t>(live_);
    const Micros most = std::max(interval_ * kSeedMost, interval_ * fleet / 4);
    seed_pause_ = std::min(seed_pause_ == Micros{0} ? interval_ * kSeedFirst : seed_pause_ * 3 / 2, most);
    if (!missing) seed_pause_ = interval_ * kSeedMost;
    wake(jittered(seed_pause_, 0.3), Due::seeds, ++seed_turn_);  // a round before it is called off
  }

  bool known_at(const Address& at) const {
    for (const auto& [name, e] : members_)
      if (e.facts.address == at && !is_terminal(e.facts.state)) return true;
    return false;
  }

  void ask_dead() {
    wake(jittered(interval_ * kDeadAsked, 0.3), Due::dead);
    forget_old();
    if (silent() || !joined()) return;
    std::vector<std::string_view> dead;
    for (const auto& [name, e] : members_)
      if (e.facts.state == MemberState::failed) dead.push_back(name);
    if (dead.empty()) return;
    const std::string_view one = dead[below(dead.size())];
    tell_accused(one, true);
  }

  // It is told what is believed of it, so that it can say better; one that is pardoned is only asked.
  void tell_accused(std::string_view name, bool at_once = false) {
    Entry& e = members_.find(name)->second;
    if (!(at_once && !pardoned(e)) && e.told_at != kNever && now_ - e.told_at < interval_) return;
    e.told_at = now_;
    e.asked_as = next_nonce();
    if (!silent())
      send_gossip(MessageKind::ping, e.facts.address, e.asked_as,
                  pardoned(e) ? std::string_view(name_) : name);
  }

  void forget_old() {
    for (auto it = members_.begin(); it != members_.end();) {
      const Member& m = it->second.facts;
      const Micros kept = m.state == MemberState::left ? interval_ * kLeftKept : forget_;
      const bool old = is_terminal(m.state) && now_ - m.since > kept;
      if (!old) {
        ++it;
        continue;
      }
      unspread(*it);
      it = members_.erase(it);
    }
  }

  // Makes room for one more: of those that are gone the one that has been so for the longest.
  bool make_room() {
    if (members_.size() < most_) return true;
    auto oldest = members_.end();
    for (auto it = members_.begin(); it != members_.end(); ++it) {
      if (!is_terminal(it->second.facts.state)) continue;
      if (oldest == members_.end() || it->second.facts.since < oldest->second.facts.since) oldest = it;
    }
    if (oldest == members_.end()) return ++counters_.rejected_members, false;
    unspread(*oldest);
    members_.erase(oldest);
    return true;
  }

  // Probes.

  void probe() {
    const std::string* const next = silent() ? nullptr : next_to_probe();
    const Micros least = interval_ * (1 + health_) / 3;
    const Micros direct = std::max(least, next ? usual_trip(members_.find(*next)->second) : 0us);
    const Micros over = std::max(direct * 2, least * 27 / 10);
    wake(std::max(jittered(least * 3, 0.1), over * 11 / 10), Due::probe);
    if (!next) return;
    const Entry& e = members_.find(*next)->second;
    Probed probed{next_nonce(), *next, e.facts.generation, now_};
    ++probe_turn_;
    answered_ = false;
    nacks_.clear();
    probed_.push_back(probed);
    while (!probed_.empty() && now_ - probed_.front().at > interval_ * 32) probed_.pop_front();
    send_gossip(MessageKind::ping, e.facts.address, probed.nonce,
                e.facts.state == MemberState::suspected ? probed.name : std::string_view());
    wake(direct, Due::direct, probe_turn_);
    wake(over, Due::round_over, probe_turn_);
  }

  // An answer may take so long: twice what is usual there, or with anybody.
  Micros usual_trip(const Entry& e) const {
    const double there = std::max(round_trip_.value_or(0), e.trip.value_or(0));
    return std::min(Micros{static_cast<std::int64_t>(there * 2e6)}, interval_ * kLongestTrip);
  }

  // Each in turn, in an order drawn anew when all have had theirs; those of whom a suspicion was heard first.
  const std::string* next_to_probe() {
    while (!look_at_.empty()) {
      looked_at_ = look_at_.back();
      look_at_.pop_back();
      const auto it = members_.find(looked_at_);
      if (it != members_.end() && reachable(it->first, it->second)) return &looked_at_;
    }
    for (int pass = 0; pass < 2; ++pass) {
      while (next_ < order_.size()) {
        const auto it = members_.find(order_[next_++]);
        if (it != members_.end() && reachable(it->first, it->second)) return &it->first;
      }
      order_.clear();
      for (const auto& [name, e] : members_)
        if (reachable(name, e)) order_.push_back(name);
      for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[below(i)]);
      next_ = 0;
    }
    return nullptr;
  }

  void try_others() {
    if (answered_ || probed_.empty()) return;
    const Probed& p = probed_.back();
    const auto it = members_.find(p.name);
    if (it == members_.end()) return;
    send_gossip(MessageKind::ping, it->second.facts.address, p.nonce, p.name);
    for (const Address& helper : some(kHelpers, p.name)) {
      DatagramWriter writer(MessageKind::ping_request, fleet_, from(), p.nonce);
      writer.ping_request(p.name, it->second.facts.address);
      send(helper, writer, Rank::owed);
    }
  }

  void round_over() {
    answers_ = static_cast<std::uint8_t>(answers_ << 1 | answered_);
    if (answered_ || probed_.empty()) return;
    const Probed p = probed_.back();
    const auto it = members_.find(p.name);
    if (it == members_.end() || it->second.facts.generation != p.generation) return;
    const Member& m = it->second.facts;
    if (m.state == MemberState::leaving)
      return change(p.name, [this](Member& now) { now.state = MemberState::left, now.reported_by = name_; });
    suspect(p.name, m.incarnation, name_);
    // Helpers that could not reach it either share the suspicion.
    for (const std::string& helper : nacks_) suspect(p.name, m.incarnation, helper);
  }

  void on_ping(const Sender& from, Nonce nonce) override {
    if (silent()) {
      if (rival_) send_claim(from.address, nonce);
      return;
    }
    sender_is(from);
    const auto it = members_.find(from.name);
    // Whoever is called failed or suspected here, or is known by another start, hears of it with the answer.
    const bool better =
        it != members_.end() && !pardoned(it->second) &&
        (is_terminal(it->second.facts.state) || it->second.facts.state == MemberState::suspected ||
         it->second.facts.generation != from.generation);
    if (joined() && !better && !doubted_ && is_new(from.name))
      welcome(from.address, nonce);
    else
      send_gossip(MessageKind::ack, from.address, nonce, better ? from.name : std::string_view(name_));
    if (!joined() && !claiming_) join("another joins too");
  }

  bool is_new(std::string_view name) const {
    const auto it = members_.find(name);
    return it == members_.end() || now_ - it->second.facts.since < interval_ * kNewcomer;
  }

  // A newcomer is introduced to some others, so that a fleet that starts at once does not ask its seeds for
  // all.
  void welcome(const Address& to, Nonce nonce) {
    DatagramWriter writer(MessageKind::ack, fleet_, from(), nonce);
    writer.add(update_of(name_, me()));
    for (std::size_t i = 0; i < kIntroduced && !order_.empty(); ++i) {
      const auto it = members_.find(order_[below(order_.size())]);
      if (it != members_.end() && it->second.facts.state == MemberState::alive)
        writer.add(update_of(it->first, it->second.facts));
    }
    send(to, writer, Rank::spare);
  }

  void on_ack(const Sender& from, Nonce nonce) override {
    if (const auto helped = helped_.find(nonce.value); helped != helped_.end()) {
      DatagramWriter writer(MessageKind::ack, fleet_, this->from(), helped->second.asked_as);
      send(helped->second.asker, writer, Rank::owed);
      helped_.erase(helped);
      return;
    }
    if (const auto it = members_.find(from.name); it != members_.end() && it->second.asked_as == nonce &&
                                                  it->second.facts.state == MemberState::failed &&
                                                  it->second.facts.generation == from.generation) {
      // Whom this node calls failed answers just now, from a larger part.
      if (!pardoned(it->second) && !outweighs(from)) {
        pardon();
        start_anew(me().generation);
      }
      if (pardoned(it->second))
        change(from.name, [&](Member& m) { m.state = MemberState::alive, m.reported_by = from.name; });
    }
    // Guards against a node whose seeds are changed before it knows any of those that answer.
    if (!members_.contains(from.name)) met_ = from.address;
    sender_is(from);
    const auto probed =
        std::find_if(probed_.begin(), probed_.end(), [&](const Probed& p) { return p.nonce == nonce; });
    if (probed != probed_.end()) {
      if (from.name == probed->name) {
        round_trip_.add(seconds(now_ - probed->at), 0.8);
        // Also an answer that comes too late tells how long this one takes.
        if (const auto it = members_.find(from.name); it != members_.end())
          it->second.trip.add(seconds(now_ - probed->at), 0.5);
      }
      if (probed->nonce == probed_.back().nonce && !std::exchange(answered_, true))
        health_ = std::max(health_ - 1, 0);
    }
    if (!joined() && !claiming_ && !rival_) {
      join("a seed answers");
      const std::vector<Address> known = some(1, {});
      start_sync(known.empty() ? from.address : known.front());
    }
    if (from.digest != digest() && joined() && now_ - synced_at_ >= interval_) start_sync(from.address);
  }

  void on_nack(const Sender& from, Nonce nonce) override {
    if (!probed_.empty() && probed_.back().nonce == nonce && nacks_.size() < kHelpers)
      nacks_.emplace_back(from.name);
  }

  void on_ping_request(const Sender& from, Nonce nonce, std::string_view whom, const Address& at) override {
    if (silent() || helped_.size() >= kMostHelped) return;
    const Nonce own = next_nonce();
    helped_[own.value] = {nonce, from.address};
    const auto it = members_.find(whom);
    send_gossip(MessageKind::ping, at, own, it == members_.end() ? std::string_view() : whom);
    const Micros usual = it == members_.end() ? 0us : usual_trip(it->second);
    wake(std::max(interval_ / 2, usual), Due::helped, own.value);
  }

  void help_over(Nonce own) {
    const auto it = helped_.find(own.value);
    if (it == helped_.end()) return;
    DatagramWriter writer(MessageKind::nack, fleet_, from(), it->second.asked_as);
    send(it->second.asker, writer, Rank::owed);
    helped_.erase(it);
  }

  // Suspicion and verdict.

  std::size_t sharers_wanted(std::string_view accused) const {
    std::size_t others = 0;
    for (const auto& [name, e] : members_) {
      others += name != name_ && name != accused && e.facts.state == MemberState::alive;
      if (others == kSharers) break;
    }
    return others;
  }

  Micros doubt(std::string_view name, const Entry& e) const {
    const Micros least = interval_ * kLeastDoubt;
    const std::size_t wanted = sharers_wanted(name);
    if (wanted == 0 || e.verdict_said) return least;
    const std::size_t shared = std::min(e.accusers.size() - 1, wanted);
    const double open =
        1 - std::log(1.0 + static_cast<double>(shared)) / std::log(1.0 + static_cast<double>(wanted));
    // Where nobody else shares it, this node may be the one that is ill.
    const double most = kDoubtSpread * (shared == 0 ? 1 + health_ : 1);
    return Micros{static_cast<std::int64_t>(static_cast<double>(least.count()) * (1 + (most - 1) * open))};
  }

  void suspect(std::string_view name, std::uint32_t incarnation, std::string_view by) {
    const auto it = members_.find(name);
    Entry& e = it->second;
    Member& m = e.facts;
    if (incarnation < m.incarnation || (m.state != MemberState::alive && m.state != MemberState::suspected))
      return;
    if (m.state == MemberState::suspected && incarnation == m.incarnation) {
      if (e.accusers.size() > kSharers ||
          std::find(e.accusers.begin(), e.accusers.end(), by) != e.accusers.end())
        return;
      e.accusers.emplace_back(by);
      m.reported_by = by;
      tell(it->first);  // others are to hear of each accuser
    } else {
      change(name, [&](Member& now) {
        now.state = MemberState::suspected;
        now.incarnation = incarnation;
        now.reported_by = by;
      });
      e.accusers.assign(1, std::string(by));
      e.doubt_from = now_;
      tell_accused(name, true);
      if (by != name_ &&
          std::generate_canonical<double, 32>(chance_) < kLookers / static_cast<double>(live_ + 1))
        look_at_.emplace_back(name);
    }
    if (!std::exchange(doubts_due_, true)) wake(interval_ / 4, Due::doubts);
  }

  void weigh_doubts() {
    doubts_due_ = false;
    std::vector<std::string> verdicts;
    bool more = false;
    for (const auto& [name, e] : members_) {
      if (e.facts.state != MemberState::suspected) continue;
      if (now_ - e.doubt_from >= doubt(name, e))
        verdicts.push_back(name);
      else
        more = true;
    }
    for (const std::string& name : verdicts) change(name, [](Member& m) { m.state = MemberState::failed; });
    if (more && !std::exchange(doubts_due_, true)) wake(interval_ / 4, Due::doubts);
  }

  // Words.

  void sender_is(const Sender& from) {
    // Guards against a name whose process here is an older one: whoever sends hears of the newer.
    const auto it = members_.find(from.name);
    if (it == members_.end() || it->first == name_) return;
    const Member& m = it->second.facts;
    if (m.generation > from.generation || (m.generation == from.generation && m.state == MemberState::failed))
      tell_accused(from.name);
  }

  void on_update(const Sender& from, const MemberUpdate& w) override {
    if (w.name == name_) return of_myself(from, w);
    if (silent()) return;
    const auto sender = members_.find(from.name);
    // Whoever is called failed here accuses nobody: it is told first.
    if (sender != members_.end() && w.name != from.name && w.state > MemberState::alive &&
        is_terminal(sender->second.facts.state) && sender->second.facts.generation >= from.generation)
      return;
    const auto it = members_.find(w.name);
    if (it == members_.end()) return of_stranger(from, w);
    Entry& e = it->second;
    const Member& m = e.facts;
    if (w.generation < m.generation) return;
    if (w.generation > m.generation) {
      if (w.state != MemberState::joining) newer(w.name, w);
      return;
    }
    if (is_terminal(m.state)) {
      // It runs by another's word, or by its own: it has to hear that it starts anew.
      if (m.state == MemberState::failed && w.state < MemberState::failed) tell_accused(w.name);
      if (m.state == MemberState::failed && w.state == MemberState::left)
        change(w.name, [&](Member& now) { now.state = MemberState::left, now.reported_by = w.reported_by; });
      return;
    }
    switch (w.state) {
      case MemberState::joining:
        return;
      case MemberState::alive:
      case MemberState::leaving:
        if (m.state == MemberState::leaving && w.state != MemberState::leaving) return;
        if (w.incarnation > m.incarnation) newer(w.name, w);
        return;
      case MemberState::suspected:
        if (!w.reported_by.empty()) suspect(w.name, w.incarnation, w.reported_by);
        return;
      case MemberState::failed:
        if (m.state == MemberState::leaving)
          return change(w.name,
                        [&](Member& now) { now.state = MemberState::left, now.reported_by = w.reported_by; });
        // Doubted here first: after a partition both sides have failed each other, and those here may well
        // run.
        suspect(w.name, m.incarnation, w.reported_by.empty() ? from.name : w.reported_by);
        e.verdict_said = true;
        tell_accused(w.name);
        return;
      case MemberState::left:
        return change(w.name,
                      [&](Member& now) { now.state = MemberState::left, now.reported_by = w.reported_by; });
    }
  }

  void newer(std::string_view name, const MemberUpdate& w) {
    // An accusation of this node's that is refuted: it may be this node that is ill.
    const auto& accusers = members_.find(name)->second.accusers;
    if (std::find(accusers.begin(), accusers.end(), name_) != accusers.end())
      health_ = std::min(health_ + 1, kMostHealth);
    const bool accused = w.state == MemberState::suspected;
    const bool verdict = w.state == MemberState::failed;
    change(name, [&](Member& m) {
      take_facts(m, w, accused || verdict ? w.reported_by : w.name);
      if (accused) m.state = MemberState::alive;
    });
    if (accused && !w.reported_by.empty()) suspect(name, w.incarnation, w.reported_by);
  }

  void of_stranger(const Sender& from, const MemberUpdate& w) {
    if (w.state == MemberState::joining || w.state == MemberState::left) return;
    // The dead are learned of while this node is new. Later they would come back from others as soon as they
    // are forgotten here.
    if (w.state == MemberState::failed && now_ - joined_at_ > interval_ * kLearnsDead) return;
    if (!make_room()) return;
    const auto it = members_.try_emplace(std::string(w.name)).first;
    Entry& e = it->second;
    const bool accused = w.state == MemberState::suspected;
    take_facts(e.facts, w, accused || is_terminal(w.state) ? w.reported_by : from.name);
    if (accused) e.facts.state = MemberState::alive;
    e.facts.since = now_;
    digest(it->first, e.facts, Way::in);
    // Drawn into the present round at a place by chance, so that it is not left for the next.
    if (reachable(it->first, e)) {
      order_.push_back(it->first);
      if (next_ < order_.size()) std::swap(order_.back(), order_[next_ + below(order_.size() - next_)]);
    }
    tell(it->first, from.from_sync);
    delegate_.on_member_changed(it->first, e.facts, true);
    if (accused && !w.reported_by.empty()) suspect(it->first, w.incarnation, w.reported_by);
  }

  void of_myself(const Sender& from, const MemberUpdate& w) {
    doubted_ = true;
    const Member& m = me();
    // Of this very process, or of one before it at the same address.
    if (w.generation == m.generation && w.address == m.address) {
      if (w.state == MemberState::failed || w.state == MemberState::left) {
        if (m.state == MemberState::leaving) return;
        // The smaller part yields, so that one node that was cut off does not make all others start anew.
        if (outweighs(from)) return;
        health_ = std::min(health_ + 1, kMostHealth);
        pardon();
        start_anew(w.generation);
      } else if (w.incarnation > m.incarnation ||
                 (w.state == MemberState::suspected && w.incarnation == m.incarnation)) {
        if (m.state == MemberState::joining) return;
        health_ = std::min(health_ + 1, kMostHealth);
        change(name_, [&](Member& now) { now.incarnation = w.incarnation + 1; });
        if (!silent()) send_gossip(MessageKind::gossip, from.address, next_nonce(), name_);
      }
      return;
    }
    if (w.generation < m.generation && w.address == m.address) return;
    if (is_terminal(w.state) || w.address == m.address) {
      if (w.generation >= m.generation && !silent()) start_anew(w.generation);
      return;
    }
    // Another process of this name at another address: the younger one has to go.
    if (w.state == MemberState::joining || w.state == MemberState::leaving) return;
    highest_rival_ = std::max(highest_rival_, w.generation);
    if (claiming_ || rival_) return;
    claiming_ = true;
    rival_at_ = w.address;
    send_claim(rival_at_, next_nonce());
    wake(interval_ * kClaimWaits / 2, Due::claimed, ++claim_turn_);
  }

  // What this node believed while it was cut off is asked anew: whoever answers has run all the time.
  void pardon() {
    for (News& n : members_) {
      if (n.second.facts.state != MemberState::failed) continue;
      n.second.pardoned_until = now_ + interval_ * kPardon;
      unspread(n);
    }
  }

  // How much this node's verdicts are worth: members that it holds to be well, as far as its own last probes
  // were answered.
  std::uint32_t weight() const {
    return static_cast<std::uint32_t>(well_) * static_cast<std::uint32_t>(std::popcount(answers_));
  }
  bool outweighs(const Sender& other) const {
    return std::pair(weight(), digest()) > std::pair(other.weight, other.digest);
  }

  bool pardoned(const Entry& e) const { return e.pardoned_until > now_; }

  // Two processes of one name.

  void send_claim(const Address& to, Nonce nonce) {
    DatagramWriter writer(MessageKind::name_claim, fleet_, from(), nonce);
    writer.name_claim(now_ - began_);
    send(to, writer, Rank::owed);
  }

  void on_name_claim(const Sender& from, Micros running) override {
    if (from.name != name_ || from.address == me().address) return;
    const Micros own = now_ - began_;
    const bool elder = own != running ? own > running : me().address < from.address;
    highest_rival_ = std::max(highest_rival_, from.generation);
    if (elder && !rival_) {
      // What was believed of the younger one is over.
      send_claim(from.address, next_nonce());
      if (from.generation >= me().generation) start_anew(from.generation);
      return;
    }
    if (elder) return;
    rival_at_ = from.address;
    rival_heard_ = now_;
    claiming_ = false;
    ++claim_turn_;
    if (!std::exchange(rival_, true)) {
      char line[200];
      std::snprintf(line, sizeof line,
                    "name-in-use name=%s elder=%s elder_running_ms=%lld; this node stays out", name_.c_str(),
                    to_text(from.address).c_str(), static_cast<long long>(running.count() / 1000));
      delegate_.log(line);
      change(name_, [](Member& m) { m.state = MemberState::joining; });
      news_.clear();
      for (auto& [name, e] : members_) e.sends = 0;
    }
    wake(jittered(interval_ * kSeedMost, 0.3), Due::claimed, claim_turn_);
  }

  void claim_over() {
    if (rival_) {
      // Asked again and again, for ever: the elder may have gone.
      if (now_ - rival_heard_ < interval_ * 3 * kSeedMost) {
        send_claim(rival_at_, next_nonce());
        return wake(jittered(interval_ * kSeedMost, 0.3), Due::claimed, claim_turn_);
      }
      rival_ = false;
    }
    if (claiming_ && claim_tries_++ % 2 == 0) {
      send_claim(rival_at_, next_nonce());
      return wake(interval_ * kClaimWaits / 2, Due::claimed, claim_turn_);
    }
    claiming_ = false;
    start_anew(highest_rival_);
    if (joined()) return;
    // Whoever answers now knows of nobody else of this name.
    seed_pause_ = Micros{0};
    ask_seeds();
    join("the name is free");
  }

  // Whole views, piece by piece.

  void start_sync(const Address& with) {
    if (silent()) return;
    synced_at_ = now_;
    DatagramWriter writer(MessageKind::sync_digest, fleet_, from(), next_nonce());
    writer.sync_digest(false, buckets_);
    send(with, writer, Rank::spare);
  }

  void on_sync_digest(const Sender& from, bool answered,
                      std::span<const std::uint64_t, kDigestBuckets> digests) override {
    if (silent() || !joined()) return;
    std::vector<MemberUpdate> words;
    for (const auto& [name, e] : members_) {
      if (e.facts.state == MemberState::joining || pardoned(e)) continue;
      if (digests[bucket(name)] != buckets_[bucket(name)]) words.push_back(update_of(name, e.facts));
    }
    // Where they differ by more than one answer holds, a part drawn by chance; the next ones bring the rest.
    if (!words.empty())
      std::rotate(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(below(words.size())),
                  words.end());
    std::size_t at = 0;
    for (std::size_t n = 0; n < kSyncDatagrams && at < words.size(); ++n) {
      DatagramWriter writer(MessageKind::sync_updates, fleet_, this->from(), next_nonce());
      while (at < words.size() && writer.add(words[at])) ++at;
      send(from.address, writer, Rank::spare);
    }
    if (answered) return;
    DatagramWriter back(MessageKind::sync_digest, fleet_, this->from(), next_nonce());
    back.sync_digest(true, buckets_);
    send(from.address, back, Rank::spare);
  }

  // For those who look on.

  // Whoever is asked anew is in doubt.
  MemberUpdate shown(std::string_view name, const Entry& e) const {
    MemberUpdate out = update_of(name, e.facts);
    if (pardoned(e)) out.state = MemberState::suspected;
    return out;
  }

  void on_view_query(Nonce nonce, std::string_view after) override {
    DatagramWriter writer(MessageKind::view_page, fleet_, from(), nonce);
    auto it = after.empty() ? members_.begin() : members_.upper_bound(after);
    // The mark whether it is the last stands before the words: it is known only when they have been tried.
    DatagramWriter tried(MessageKind::view_page, fleet_, from(), nonce);
    tried.view_page(true);
    auto end = it;
    for (; end != members_.end(); ++end) {
      if (end->second.facts.state == MemberState::left) continue;
      if (!tried.add(shown(end->first, end->second), now_ - end->second.facts.since)) break;
    }
    if (end == members_.end()) return show(tried);
    writer.view_page(false);
    for (; it != end; ++it)
      if (it->second.facts.state != MemberState::left)
        writer.add(shown(it->first, it->second), now_ - it->second.facts.since);
    show(writer);
  }

  void complain(DecodeError wrong) {
    if (complained_at_ != kNever && now_ - complained_at_ < 10s) return;
    complained_at_ = now_;
    char line[160];
    std::snprintf(line, sizeof line, "datagram dropped why=%s from=%s", name_of(wrong),
                  to_text(came_from_).c_str());
    delegate_.log(line);
  }

  struct Probed {
    Nonce nonce;
    std::string name;
    Generation generation;
    Micros at;
  };

  ViewDelegate& delegate_;
  std::string fleet_, name_;
  std::vector<Address> seeds_;
  std::optional<Address> met_;  // who answered and was no member then
  Micros interval_, forget_;
  std::size_t most_;
  std::knuth_b chance_;
  Entries members_;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::size_t live_ = 0, well_ = 0;  // members not gone, and those of them not suspected
  std::vector<News*> news_;
  std::vector<std::string> order_, look_at_;
  std::string looked_at_;
  std::size_t next_ = 0;
  std::deque<Probed> probed_;  // lately, the present one last
  std::uint64_t probe_turn_ = 0, seed_turn_ = 0, claim_turn_ = 0, nonces_ = 0;
  std::map<std::uint64_t, Helped> helped_;
  DecayingMean round_trip_;         // seconds
  std::vector<std::string> nacks_;  // helpers that could not reach whom this node probes
  int health_ = 0, claim_tries_ = 0;
  std::uint8_t answers_ = 0;  // of the last eight probes, a bit each
  bool answered_ = false, gossip_due_ = false, doubts_due_ = false, silent_ = false;
  bool claiming_ = false, rival_ = false;
  bool doubted_ = false;  // the datagram at hand speaks of this node: somebody waits for its answer
  Address rival_at_, came_from_;
  Generation highest_rival_;
  Micros now_{0}, began_ = kNever, due_ = Micros::max(), refill_at_{0}, seed_pause_{0}, synced_at_{0},
                  rival_heard_{0}, joined_at_{0}, complained_at_ = kNever;
  double bytes_left_ = kBytesKept, shown_left_ = kBytesKept;
  ViewCounters counters_;
};

View::View(ViewDelegate& delegate, std::string fleet, std::string name, Generation generation,
           const Address& told, std::string zone, std::string version, std::vector<Address> seeds,
           Micros interval, Micros forget, std::size_t most, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(delegate, std::move(fleet), std::move(name), generation, told,
                                   std::move(zone), std::move(version), std::move(seeds), interval, forget,
                                   most, seed)) {}
View::~View() = default;
void View::set_time(Micros now) { impl_->set_time(now); }
void View::start() { impl_->start(); }
void View::received(const Address& from, std::string_view bytes) { impl_->received(from, bytes); }
void View::timer_expired(TimerId timer) { impl_->timer_expired(timer); }
void View::set_seeds(std::vector<Address> seeds) { impl_->set_seeds(std::move(seeds)); }
void View::leave() { impl_->leave(); }
void View::set_metadata(std::string_view metadata) { impl_->set_metadata(metadata); }
void View::pick_members(std::size_t near, std::size_t far, std::vector<Address>& to) {
  impl_->pick_members(near, far, to);
}
std::uint64_t View::digest() const { return impl_->digest(); }
unsigned View::active_count() const { return impl_->active_count(); }
bool View::joined() const { return impl_->joined(); }
const ViewCounters& View::counters() const { return impl_->counters(); }

}  // namespace flintweir::members
