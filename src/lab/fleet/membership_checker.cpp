#include "lab/fleet/membership_checker.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using members::MemberState;

constexpr int kLearns = 20;    // intervals after its start a process has heard what is remembered of its name
constexpr int kGhostFor = 60;  // intervals after a kill that a name may still stand as alive
// Bytes that a node may send in a second: what docs/members.md states, with a burst.
constexpr std::size_t kMostBytes = (64 + 16 + 2) << 10;

bool lives(MemberState s) {
  return s == MemberState::alive || s == MemberState::suspected || s == MemberState::leaving;
}

}  // namespace

const char* name_of(MembershipRule rule) {
  constexpr const char* kNames[] = {"view-settled", "view-false",  "view-ghost", "view-back",
                                    "view-bound",   "view-answer", "view-log"};
  return kNames[static_cast<std::size_t>(rule)];
}

MembershipChecker::MembershipChecker(Micros interval, std::function<void(const MembershipViolation&)> broken)
    : interval_(interval), broken_(std::move(broken)) {}

void MembershipChecker::up(const std::string& name, Micros now) {
  ++changes_;
  running_[name] = Running();
  running_[name].from = now;
  first_start_.erase(name);
}

void MembershipChecker::down(const std::string& name, Micros now) {
  ++changes_;
  running_.erase(name);
  down_[name] = now;
}

void MembershipChecker::paused(const std::string& name, bool on, Micros now) {
  if (const auto it = running_.find(name); it != running_.end())
    it->second.paused = on, it->second.from = now;
}

void MembershipChecker::seen(const std::string& name, const members::ViewQuery& view, Micros now) {
  const auto it = running_.find(name);
  if (it == running_.end()) return;
  Running& r = it->second;
  ++looks_;
  r.asked = true;
  r.digest = view.digest();
  // It has started anew, and may ask anew for those whom it had called failed while it was cut off.
  if (view.responder_generation() != r.start)
    for (auto& [held, last] : r.holds) last.dead = {};
  r.start = view.responder_generation();
  r.listed.clear();
  for (const members::ViewQuery::Row& row : view.rows()) {
    const bool fresh = !r.holds.contains(row.name);
    Last& last = r.holds[row.name];
    const std::string who = name + " of " + row.name;
    const bool runs = running_.contains(row.name);
    if (lives(row.state)) r.listed.insert(row.name);
    if (row.name == name && row.state != MemberState::joining) {
      // What it says of itself: later at each start, and the same while nobody could call it failed.
      // Where somebody whom it knows has run since before its last end: else nobody can remember.
      const auto remembers = [&](const auto& other) {
        return other.first != name && other.second.from < down_[name] && r.listed.contains(other.first);
      };
      members::Generation& last_own = last_start_[name];
      if (row.generation < last_own && now - r.from > interval_ * kLearns &&
          std::any_of(running_.begin(), running_.end(), remembers))
        broken(MembershipRule::back, now, name + " runs by an earlier start than before");
      last_own = std::max(last_own, row.generation);
      const members::Generation first = first_start_.try_emplace(name, row.generation).first->second;
      if (row.generation != first && !accused_.contains(name))
        broken(MembershipRule::falsely, now, name + " had to start anew and had run all the time");
    }
    if (!fresh) {
      if (row.generation < last.start) broken(MembershipRule::back, now, who + ": an earlier start");
      if (row.generation == last.start && row.incarnation < last.word)
        broken(MembershipRule::back, now, who + ": an earlier word");
    }
    if (lives(row.state) && last.dead.value != 0 && row.generation <= last.dead)
      broken(runs ? MembershipRule::back : MembershipRule::ghost, now,
             who + ": alive again by the start that had failed");
    if (row.state == MemberState::failed) {
      last.dead = std::max(last.dead, row.generation);
      if (const auto own = last_start_.find(row.name);
          runs && own != last_start_.end() && row.generation == own->second)
        called_failed_.emplace(row.name, row.generation);
      if (!accuses_.contains(name) && !accused_.contains(row.name) && runs)
        broken(MembershipRule::falsely, now, who + ": called failed");
    }
    if (const auto ended = down_.find(row.name);
        !runs && ended != down_.end() && lives(row.state) && !accuses_.contains(name) &&
        now - std::max(ended->second, r.from) > interval_ * kGhostFor)
      broken(MembershipRule::ghost, now, who + ": still " + members::name_of(row.state));
    last.start = row.generation;
    last.word = row.incarnation;
  }
  const bool exact =
      r.listed.size() == running_.size() &&
      std::equal(r.listed.begin(), r.listed.end(), running_.begin(),
                 [](const std::string& listed, const auto& runs) { return listed == runs.first; });
  r.exact_at = exact ? changes_ : 0;
}

void MembershipChecker::sent(const std::string& name, std::size_t bytes, Micros now) {
  sent_bytes_ += bytes;
  const auto it = running_.find(name);
  if (it == running_.end()) return;
  Running& r = it->second;
  if (now - r.second >= Micros{1'000'000}) r.second = now, r.bytes = 0;
  r.bytes += bytes;
  if (bytes > members::kMaxDatagramBytes || (r.bytes > kMostBytes && r.bytes - bytes <= kMostBytes))
    broken(MembershipRule::bound, now, name + " sent " + std::to_string(r.bytes) + " bytes in a second");
}

void MembershipChecker::unanswered(const std::string& name, const std::string& what, Micros now) {
  broken(MembershipRule::unanswered, now, name + ": " + what);
}

std::string MembershipChecker::why_not_settled() const {
  for (const auto& [name, r] : running_) {
    if (!r.asked) return name + " gave no view";
    for (const auto& [other, o] : running_)
      if (!r.listed.contains(other)) return name + " lacks " + other;
    for (const std::string& listed : r.listed)
      if (!running_.contains(listed)) return name + " still holds " + listed;
    if (r.digest != running_.begin()->second.digest)
      return name + " and " + running_.begin()->first + " differ";
  }
  return "";
}

bool MembershipChecker::agree() const {
  return std::all_of(running_.begin(), running_.end(), [this](const auto& r) {
    return r.second.exact_at == changes_ && r.second.digest == running_.begin()->second.digest;
  });
}

bool MembershipChecker::all_know_gone(const std::string& gone) const {
  return std::none_of(running_.begin(), running_.end(),
                      [&](const auto& r) { return !r.second.paused && r.second.listed.contains(gone); });
}

bool MembershipChecker::all_know(const std::string& name) const {
  return std::all_of(running_.begin(), running_.end(),
                     [&](const auto& r) { return r.second.paused || r.second.listed.contains(name); });
}

// `member name=N standing=S ...`, as docs/oncall.md has it.
void MembershipChecker::logged(const std::string& name, std::string_view line) {
  const auto it = running_.find(name);
  if (it == running_.end()) return;
  // The file goes on where another process of that name had ended.
  if (line.find("fleet: ") != line.npos && line.find(" told=") != line.npos) it->second.logs_alive.clear();
  const std::size_t at = line.find("member name=");
  if (at == line.npos) return;
  logs_ = true;
  const auto value = [&](std::string_view key) {
    const std::size_t from = line.find(key, at) + key.size();
    return std::string(line.substr(from, line.find(' ', from) - from));
  };
  const std::string whom = value("name="), standing = value("standing=");
  const bool there = standing == "alive" || standing == "suspected" || standing == "leaving";
  there ? void(it->second.logs_alive.insert(whom)) : void(it->second.logs_alive.erase(whom));
}

void MembershipChecker::settled(Micros now) {
  for (const auto& [name, r] : running_) {
    if (logs_ && r.logs_alive != r.listed)
      broken(MembershipRule::log, now,
             name + ": its log names " + std::to_string(r.logs_alive.size()) + " there, its view " +
                 std::to_string(r.listed.size()));
  }
  ++looks_;
  if (const std::string why = why_not_settled(); !why.empty()) broken(MembershipRule::settled, now, why);
}

}  // namespace flintweir::lab
