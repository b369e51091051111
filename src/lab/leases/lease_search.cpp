#include "lab/leases/lease_search.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <unordered_set>

#include "leases/candidate.h"
#include "leases/voter.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;
using namespace leases;

constexpr Micros kLeaseDuration = 8s, kOperationDuration = 1s;
constexpr const char* kLeaseName = "job";
constexpr std::size_t kMaxInFlight = 14;

struct Message {
  std::uint32_t voter, candidate;
  bool is_reply;
  // Set for a request or for a reply; strings are owned copies.
  RequestKind request_kind{};
  ReplyKind reply_kind{};
  Token token, highest;
  Round round;
  Micros remaining{0};
  std::string holder;
};

// A voter's promises, kept in memory outside the voter so that they survive its restart.
struct MemoryStorage final : VoterStorage {
  std::vector<VoterStorage::Record> all;
  bool save(const VoterStorage::Record& record) override {
    for (VoterStorage::Record& existing : all)
      if (existing.lease == record.lease) return existing = record, true;
    all.push_back(record);
    return true;
  }
};

// One copyable state of the whole system: candidates, voters, messages in flight and true time.
class SystemState {
 public:
  explicit SystemState(const LeaseSearchOptions& options) : options_(options) {
    stored_.resize(options.voters);
    for (std::uint32_t v = 0; v < options.voters; ++v) {
      voters_.push_back(make_voter(v, false));
    }
    for (std::uint32_t s = 0; s < options.candidates; ++s)
      candidates_.push_back(std::make_unique<CandidateProcess>(*this, s));
  }
  SystemState(const SystemState& other)
      : options_(other.options_),
        now_(other.now_),
        stored_(other.stored_),
        voters_(other.voters_),
        in_flight_(other.in_flight_),
        open_operations_(other.open_operations_),
        max_acquired_token_(other.max_acquired_token_),
        max_operation_token_(other.max_operation_token_),
        restarts_(other.restarts_),
        duplicates_(other.duplicates_),
        grants_(other.grants_),
        violation_(other.violation_) {
    for (std::uint32_t s = 0; s < options_.candidates; ++s)
      candidates_.push_back(std::make_unique<CandidateProcess>(*this, *other.candidates_[s]));
    // Each copied voter writes to this copy's storage.
    if (options_.voter_storage)
      for (std::uint32_t v = 0; v < voters_.size(); ++v) voters_[v].set_storage(&stored_[v]);
  }

  const std::string& violation() const { return violation_; }  // empty: none
  unsigned grants() const { return grants_; }

  // An event that can happen next.
  struct Step {
    enum class Kind {
      deliver,
      deliver_duplicate,
      timer,
      advance_time,
      begin_operation,
      restart,
      release
    } kind;
    std::uint32_t index = 0;
  };
  std::vector<Step> steps(bool bounded) const {
    std::vector<Step> out;
    for (std::uint32_t i = 0; i < in_flight_.size(); ++i) {
      out.push_back({Step::Kind::deliver, i});
      if (!bounded || duplicates_ < options_.max_duplicates)
        out.push_back({Step::Kind::deliver_duplicate, i});
    }
    for (std::uint32_t s = 0; s < candidates_.size(); ++s) {
      const CandidateProcess& u = *candidates_[s];
      if (u.timer_due && *u.timer_due <= candidate_clock(s)) out.push_back({Step::Kind::timer, s});
      NullDelegate null_delegate;
      Candidate snapshot(u.candidate, null_delegate);
      snapshot.set_time(candidate_clock(s));
      if (snapshot.holds()) {
        out.push_back({Step::Kind::begin_operation, s});
        // The caller never releases the lease during an operation.
        if ((!bounded || options_.allow_release) &&
            std::none_of(open_operations_.begin(), open_operations_.end(),
                         [&](const OpenOperation& other) { return other.candidate == s; }))
          out.push_back({Step::Kind::release, s});
      }
    }
    out.push_back({Step::Kind::advance_time, 0});
    if (!bounded || restarts_ < options_.max_restarts)
      for (std::uint32_t v = 0; v < voters_.size(); ++v) out.push_back({Step::Kind::restart, v});
    return out;
  }

  void apply(const Step& step) {
    switch (step.kind) {
      case Step::Kind::deliver:
      case Step::Kind::deliver_duplicate: {
        const Message m = in_flight_[step.index];
        if (step.kind == Step::Kind::deliver)
          in_flight_.erase(in_flight_.begin() + step.index);
        else
          ++duplicates_;
        return deliver(m);
      }
      case Step::Kind::timer: {
        CandidateProcess& u = *candidates_[step.index];
        u.timer_due.reset();
        u.candidate.set_time(candidate_clock(step.index));
        return u.candidate.timer_expired(u.timer_id);
      }
      case Step::Kind::advance_time:
        now_ += scaled(kLeaseDuration, options_.time_step);
        std::erase_if(open_operations_, [&](const OpenOperation& a) { return a.end <= now_; });
        return;
      case Step::Kind::begin_operation:
        return begin_operation(step.index);
      case Step::Kind::restart:
        ++restarts_;
        voters_[step.index] = make_voter(step.index, true);
        return;
      case Step::Kind::release: {
        CandidateProcess& u = *candidates_[step.index];
        u.candidate.set_time(candidate_clock(step.index));
        u.candidate.release();
        u.candidate.acquire();
        return;
      }
    }
  }

  static std::string name(const Step& s) {
    const char* const kinds[] = {"deliver", "twice", "wake", "pass", "act", "restart", "let-go"};
    return std::string(kinds[static_cast<int>(s.kind)]) + ' ' + std::to_string(s.index);
  }

  std::size_t hash() const {
    std::string text = std::to_string(restarts_) + ',' + std::to_string(duplicates_) + ',' +
                       std::to_string(max_acquired_token_.value) + ',' +
                       std::to_string(max_operation_token_.value);
    for (std::uint32_t v = 0; v < voters_.size(); ++v) {
      text += "\n";
      voters_[v].append_state(voter_clock(v), text);
    }
    for (std::uint32_t s = 0; s < candidates_.size(); ++s) {
      const CandidateProcess& u = *candidates_[s];
      text +=
          "\n" +
          std::to_string(u.timer_due ? std::max(*u.timer_due - candidate_clock(s), Micros{0}).count() : -1) +
          ' ';
      u.candidate.append_state(text);
    }
    std::vector<std::string> descriptions;
    for (const Message& m : in_flight_)
      descriptions.push_back(
          std::to_string(m.voter) + (m.is_reply ? '<' : '>') + std::to_string(m.candidate) + ' ' +
          std::to_string(m.is_reply ? static_cast<int>(m.reply_kind) : static_cast<int>(m.request_kind)) +
          ' ' + std::to_string(m.token.value) + ' ' + std::to_string(m.round.value) + ' ' +
          std::to_string(m.highest.value));
    std::sort(descriptions.begin(), descriptions.end());
    for (const std::string& m : descriptions) text += '\n' + m;
    for (const OpenOperation& a : open_operations_)
      text += "\na" + std::to_string(a.candidate) + ' ' + std::to_string((a.end - now_).count());
    return std::hash<std::string>()(text);
  }

  // Delivers the first candidate's messages in order until it holds the lease; drops all others.
  void acquire_for_first_candidate() {
    for (int i = 0; i < 60; ++i) {
      const auto first = std::find_if(in_flight_.begin(), in_flight_.end(),
                                      [](const Message& m) { return m.candidate == 0; });
      if (first == in_flight_.end()) break;
      apply({Step::Kind::deliver, static_cast<std::uint32_t>(first - in_flight_.begin())});
    }
    std::erase_if(in_flight_, [](const Message& m) { return m.candidate != 0; });
  }
  void start_candidates() {
    if (!options_.voter_storage)
      now_ = kLeaseDuration * 2;  // voters without storage have ended their silence after a start
    for (std::uint32_t s = 0; s < candidates_.size(); ++s) {
      candidates_[s]->candidate.set_time(candidate_clock(s));
      candidates_[s]->candidate.acquire();
      if (s == 0 && options_.starts_held) acquire_for_first_candidate();
    }
  }

 private:
  struct CandidateProcess final : Candidate::Delegate {
    CandidateProcess(SystemState& owner, std::uint32_t index)
        : system(owner),
          index(index),
          candidate(*this, kLeaseName, owner.options_.voters, kLeaseDuration, Token{100}, index + 1) {}
    CandidateProcess(SystemState& owner, const CandidateProcess& other)
        : system(owner),
          index(other.index),
          candidate(other.candidate, *this),
          timer_due(other.timer_due),
          timer_id(other.timer_id) {}
    void send_request(VoterIndex v, const Request& r) override {
      system.send({v.value, index, false, r.kind, {}, r.token, {}, r.round, r.duration, {}});
    }
    void set_timer(Micros delay, TimerId timer) override {
      timer_due = system.candidate_clock(index) + delay, timer_id = timer;
    }
    void on_acquired(Token token) override { system.record_acquired(index, token); }
    void on_lost(Token, std::string_view) override {}
    void on_waiting(std::string_view) override {}
    SystemState& system;
    std::uint32_t index;
    Candidate candidate;
    std::optional<Micros> timer_due;
    TimerId timer_id;
  };
  // Delegate of a temporary copy, so that the copy cannot change the state that it was copied from.
  struct NullDelegate final : Candidate::Delegate {
    void send_request(VoterIndex, const Request&) override {}
    void set_timer(Micros, TimerId) override {}
    void on_acquired(Token) override {}
    void on_lost(Token, std::string_view) override {}
    void on_waiting(std::string_view) override {}
  };
  struct OpenOperation {
    std::uint32_t candidate;
    Micros end;  // latest end, in true time
  };

  // Clocks run at the permitted drift: the first candidate's slow and the second's fast, and the voters' the
  // other way round.
  static Micros scaled(Micros duration, double factor) {
    return Micros{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
  }
  static double rate(std::uint32_t index) { return index % 2 == 0 ? 1 - kMaxClockDrift : 1 + kMaxClockDrift; }
  Micros candidate_clock(std::uint32_t candidate) const { return scaled(now_, rate(candidate)); }
  Micros voter_clock(std::uint32_t voter) const { return scaled(now_, rate(voter + 1)); }

  Voter make_voter(std::uint32_t v, bool restarted) {
    VoterStorage* const storage = options_.voter_storage ? &stored_[v] : nullptr;
    // After a restart the wall clock is above any token: it counts seconds, while tokens grow by one.
    const Token floor{restarted ? 1000 * (1 + restarts_) : 100};
    return Voter(kLeaseDuration, floor, voter_clock(v), storage,
                 storage ? std::optional(stored_[v].all) : std::nullopt);
  }

  void send(Message m) {
    // A message that is never delivered is lost; the oldest is dropped when the queue is full.
    if (in_flight_.size() >= kMaxInFlight) in_flight_.erase(in_flight_.begin());
    in_flight_.push_back(std::move(m));
  }

  void deliver(const Message& m) {
    CandidateProcess& u = *candidates_[m.candidate];
    if (m.is_reply) {
      u.candidate.set_time(candidate_clock(m.candidate));
      u.candidate.on_reply(VoterIndex{m.voter},
                           {m.reply_kind, kLeaseName, m.token, m.round, m.highest, m.holder, m.remaining});
      if (u.candidate.holds()) check_exclusive(m.candidate);
      return;
    }
    const auto reply = voters_[m.voter].handle(voter_clock(m.voter),
                                               {m.request_kind, kLeaseName, m.token, m.round, m.remaining},
                                               "s" + std::to_string(m.candidate));
    if (reply)
      send({m.voter,
            m.candidate,
            true,
            {},
            reply->kind,
            reply->token,
            reply->highest_promised,
            reply->round,
            reply->remaining,
            std::string(reply->holder)});
  }

  void record_acquired(std::uint32_t candidate, Token token) {
    ++grants_;
    if (token <= max_acquired_token_) violation_ = "token-falls";
    max_acquired_token_ = std::max(max_acquired_token_, token);
    check_exclusive(candidate);
  }

  // A candidate whose lease has just been granted or extended must be the only holder.
  void check_exclusive(std::uint32_t candidate) {
    for (std::uint32_t s = 0; s < candidates_.size(); ++s) {
      if (s == candidate) continue;
      NullDelegate null_delegate;
      Candidate snapshot(candidates_[s]->candidate, null_delegate);
      snapshot.set_time(candidate_clock(s));
      if (snapshot.holds()) violation_ = "two-hold";
    }
  }

  void begin_operation(std::uint32_t s) {
    CandidateProcess& u = *candidates_[s];
    u.candidate.set_time(candidate_clock(s));
    const auto operation = u.candidate.begin_operation(kOperationDuration);
    if (!operation) return;
    for (const OpenOperation& other : open_operations_)
      if (other.candidate != s) violation_ = "two-at-once";
    // The resource has seen a larger token. It would refuse this one, but must not have to check.
    if (operation->token() < max_operation_token_) violation_ = "two-at-once";
    max_operation_token_ = std::max(max_operation_token_, operation->token());
    // The operation lasts as long as the holder's own clock allows.
    open_operations_.push_back({s, now_ + scaled(kOperationDuration, 1 / rate(s))});
  }

  LeaseSearchOptions options_;
  Micros now_{0};
  std::vector<MemoryStorage> stored_;
  std::vector<Voter> voters_;
  std::vector<std::unique_ptr<CandidateProcess>> candidates_;
  std::vector<Message> in_flight_;
  std::vector<OpenOperation> open_operations_;
  Token max_acquired_token_, max_operation_token_;
  unsigned restarts_ = 0, duplicates_ = 0;
  unsigned grants_ = 0;  // in this interleaving
  std::string violation_;
};

struct Path {
  std::shared_ptr<const Path> previous;
  SystemState::Step step;
};

std::string describe_path(const std::shared_ptr<const Path>& path) {
  std::string out;
  for (const Path* p = path.get(); p; p = p->previous.get())
    out = SystemState::name(p->step) + (out.empty() ? "" : ", ") + out;
  return out;
}

double seconds_since(std::chrono::steady_clock::time_point started) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
}

}  // namespace

LeaseSearchResult search_leases(const LeaseSearchOptions& options) {
  const auto started = std::chrono::steady_clock::now();
  LeaseSearchResult out;
  struct State {
    SystemState system;
    std::shared_ptr<const Path> path;
  };
  std::unordered_set<std::size_t> visited;
  std::vector<State> now, next;
  now.push_back({SystemState(options), nullptr});
  now[0].system.start_candidates();
  for (unsigned depth = 1; !now.empty(); ++depth) {
    for (const State& s : now) {
      for (const SystemState::Step& step : s.system.steps(true)) {
        SystemState successor(s.system);
        successor.apply(step);
        if (!successor.violation().empty()) {
          out.violation =
              "rule=" + successor.violation() + ": " + describe_path(s.path) + ", " + SystemState::name(step);
          out.wall_seconds = seconds_since(started);
          return out;
        }
        if (!visited.insert(successor.hash()).second) continue;
        out.grants += successor.grants() > s.system.grants();
        next.push_back({std::move(successor), std::make_shared<Path>(Path{s.path, step})});
        if (visited.size() >= options.max_states) {
          out.states = visited.size();
          out.wall_seconds = seconds_since(started);
          return out;
        }
      }
    }
    out.depth = depth;
    out.states = visited.size();
    now = std::exchange(next, {});
  }
  out.wall_seconds = seconds_since(started);
  return out;
}

LeaseSearchResult random_walk_leases(const LeaseSearchOptions& options, std::uint64_t first_seed,
                                     std::uint64_t last_seed, unsigned steps) {
  const auto started = std::chrono::steady_clock::now();
  LeaseSearchResult out;
  for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
    std::knuth_b rng(static_cast<std::knuth_b::result_type>(seed * 2 + 1));
    // Two or three candidates, with or without an initial holder, and small or large time steps.
    LeaseSearchOptions walk_options = options;
    walk_options.candidates = 2 + seed % 2;
    walk_options.starts_held = seed / 2 % 2 == 0;
    walk_options.time_step = 0.125 * static_cast<double>(1u << seed / 4 % 3);
    SystemState system(walk_options);
    system.start_candidates();
    std::string path;
    for (unsigned i = 0; i < steps; ++i) {
      const std::vector<SystemState::Step> all = system.steps(false);
      // Draws the kind first: otherwise the many messages in flight would crowd out all other steps.
      std::vector<SystemState::Step> eligible;
      using Kind = SystemState::Step::Kind;
      constexpr Kind kKinds[] = {
          Kind::deliver,      Kind::deliver,           Kind::deliver, Kind::deliver, Kind::deliver,
          Kind::deliver,      Kind::deliver_duplicate, Kind::timer,   Kind::timer,   Kind::advance_time,
          Kind::advance_time, Kind::begin_operation,   Kind::restart, Kind::release};
      const Kind kind = kKinds[rng() % std::size(kKinds)];
      // Restarts and releases are rare.
      const bool rare = kind == Kind::restart || kind == Kind::release;
      for (const SystemState::Step& s : all)
        if (s.kind == kind && (!rare || rng() % 8 == 0)) eligible.push_back(s);
      if (eligible.empty()) continue;
      const SystemState::Step step = eligible[rng() % eligible.size()];
      system.apply(step);
      ++out.states;
      path += SystemState::name(step) + ", ";
      if (!system.violation().empty()) {
        out.violation = "rule=" + system.violation() + " walk " + std::to_string(seed) + ": " + path;
        out.wall_seconds = seconds_since(started);
        return out;
      }
    }
    out.depth = steps;
    out.grants += system.grants();
  }
  out.wall_seconds = seconds_since(started);
  return out;
}

}  // namespace flintweir::lab
