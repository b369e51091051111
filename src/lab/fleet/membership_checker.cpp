#include "lab/fleet/membership_checker.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using members::MemberState;

// Probe intervals after its start by which a process has learned what other nodes remember of its name.
constexpr int kLearningIntervals = 20;
// Probe intervals after its end for which a process may still be alive in a view.
constexpr int kGhostIntervals = 60;
// The send limit stated in docs/members.md, and a burst.
constexpr std::size_t kMaxBytesPerSecond = (64 + 16 + 2) << 10;

bool is_live(MemberState s) {
  return s == MemberState::alive || s == MemberState::suspected || s == MemberState::leaving;
}

}  // namespace

const char* name_of(MembershipRule rule) {
  constexpr const char* kNames[] = {"view-settled", "view-false",  "view-ghost", "view-back",
                                    "view-bound",   "view-answer", "view-log"};
  return kNames[static_cast<std::size_t>(rule)];
}

MembershipChecker::MembershipChecker(Micros probe_interval,
                                     std::function<void(const MembershipViolation&)> on_violation)
    : probe_interval_(probe_interval), on_violation_(std::move(on_violation)) {}

void MembershipChecker::process_started(const std::string& name, Micros now) {
  ++running_changes_;
  running_[name] = Running();
  running_[name].since = now;
  first_generation_.erase(name);
}

void MembershipChecker::process_ended(const std::string& name, Micros now) {
  ++running_changes_;
  running_.erase(name);
  last_end_[name] = now;
}

void MembershipChecker::set_paused(const std::string& name, bool paused, Micros now) {
  if (const auto it = running_.find(name); it != running_.end())
    it->second.paused = paused, it->second.since = now;
}

void MembershipChecker::receive_view(const std::string& name, const members::ViewQuery& view, Micros now) {
  const auto it = running_.find(name);
  if (it == running_.end()) return;
  Running& responder = it->second;
  ++observations_;
  responder.answered = true;
  responder.digest = view.digest();
  // The process restarted, or moved to a new generation. It may then contact members again that it had
  // reported failed while it was cut off.
  if (view.responder_generation() != responder.generation)
    for (auto& [member, last] : responder.rows) last.failed_generation = {};
  responder.generation = view.responder_generation();
  responder.listed.clear();
  for (const members::ViewQuery::Row& row : view.rows()) {
    const bool is_new = !responder.rows.contains(row.name);
    LastRow& last = responder.rows[row.name];
    const std::string subject = name + " of " + row.name;
    const bool is_running = running_.contains(row.name);
    if (is_live(row.state)) responder.listed.insert(row.name);
    if (row.name == name && row.state != MemberState::joining) {
      // The generation that a node returns for itself is later after each start, and stays the same while no
      // other node may report it failed. The fleet remembers the previous one only if a member that the node
      // lists has run since before the node last ended. Otherwise an earlier generation is allowed.
      const auto remembers = [&](const auto& other) {
        return other.first != name && other.second.since < last_end_[name] &&
               responder.listed.contains(other.first);
      };
      members::Generation& last_own = last_generation_[name];
      if (row.generation < last_own && now - responder.since > probe_interval_ * kLearningIntervals &&
          std::any_of(running_.begin(), running_.end(), remembers))
        report(MembershipRule::monotonicity, now, name + " runs by an earlier start than before");
      last_own = std::max(last_own, row.generation);
      const members::Generation first = first_generation_.try_emplace(name, row.generation).first->second;
      if (row.generation != first && !may_be_reported_.contains(name))
        report(MembershipRule::no_false_failure, now, name + " had to start anew and had run all the time");
    }
    if (!is_new) {
      if (row.generation < last.generation)
        report(MembershipRule::monotonicity, now, subject + ": an earlier start");
      if (row.generation == last.generation && row.incarnation < last.incarnation)
        report(MembershipRule::monotonicity, now, subject + ": an earlier word");
    }
    if (is_live(row.state) && last.failed_generation.value != 0 && row.generation <= last.failed_generation)
      report(is_running ? MembershipRule::monotonicity : MembershipRule::no_ghost, now,
             subject + ": alive again by the start that had failed");
    if (row.state == MemberState::failed) {
      last.failed_generation = std::max(last.failed_generation, row.generation);
      if (const auto own = last_generation_.find(row.name);
          is_running && own != last_generation_.end() && row.generation == own->second)
        running_reported_failed_.emplace(row.name, row.generation);
      if (!may_report_.contains(name) && !may_be_reported_.contains(row.name) && is_running)
        report(MembershipRule::no_false_failure, now, subject + ": called failed");
    }
    if (const auto ended = last_end_.find(row.name);
        !is_running && ended != last_end_.end() && is_live(row.state) && !may_report_.contains(name) &&
        now - std::max(ended->second, responder.since) > probe_interval_ * kGhostIntervals)
      report(MembershipRule::no_ghost, now, subject + ": still " + members::name_of(row.state));
    last.generation = row.generation;
    last.incarnation = row.incarnation;
  }
  const bool exact =
      responder.listed.size() == running_.size() &&
      std::equal(responder.listed.begin(), responder.listed.end(), running_.begin(),
                 [](const std::string& listed, const auto& process) { return listed == process.first; });
  responder.exact_at = exact ? running_changes_ : 0;
}

void MembershipChecker::datagram_sent(const std::string& name, std::size_t bytes, Micros now) {
  sent_bytes_ += bytes;
  const auto it = running_.find(name);
  if (it == running_.end()) return;
  Running& sender = it->second;
  if (now - sender.second_start >= Micros{1'000'000}) sender.second_start = now, sender.second_bytes = 0;
  sender.second_bytes += bytes;
  if (bytes > members::kMaxDatagramBytes ||
      (sender.second_bytes > kMaxBytesPerSecond && sender.second_bytes - bytes <= kMaxBytesPerSecond))
    report(MembershipRule::send_limit, now,
           name + " sent " + std::to_string(sender.second_bytes) + " bytes in a second");
}

void MembershipChecker::report_unanswered(const std::string& name, const std::string& description,
                                          Micros now) {
  report(MembershipRule::responsiveness, now, name + ": " + description);
}

std::string MembershipChecker::convergence_failure() const {
  for (const auto& [name, process] : running_) {
    if (!process.answered) return name + " gave no view";
    for (const auto& [other, other_process] : running_)
      if (!process.listed.contains(other)) return name + " lacks " + other;
    for (const std::string& listed : process.listed)
      if (!running_.contains(listed)) return name + " still holds " + listed;
    if (process.digest != running_.begin()->second.digest)
      return name + " and " + running_.begin()->first + " differ";
  }
  return "";
}

bool MembershipChecker::converged() const {
  return std::all_of(running_.begin(), running_.end(), [this](const auto& process) {
    return process.second.exact_at == running_changes_ &&
           process.second.digest == running_.begin()->second.digest;
  });
}

bool MembershipChecker::all_consider_gone(const std::string& name) const {
  return std::none_of(running_.begin(), running_.end(), [&](const auto& process) {
    return !process.second.paused && process.second.listed.contains(name);
  });
}

bool MembershipChecker::all_list(const std::string& name) const {
  return std::all_of(running_.begin(), running_.end(), [&](const auto& process) {
    return process.second.paused || process.second.listed.contains(name);
  });
}

// The line `member name=N standing=S ...`, described in docs/oncall.md.
void MembershipChecker::receive_log_line(const std::string& name, std::string_view line) {
  const auto it = running_.find(name);
  if (it == running_.end()) return;
  // The log of a later process of the same name is appended to the same file.
  if (line.find("fleet: ") != line.npos && line.find(" told=") != line.npos) it->second.logged_live.clear();
  const std::size_t at = line.find("member name=");
  if (at == line.npos) return;
  has_logs_ = true;
  const auto value = [&](std::string_view key) {
    const std::size_t from = line.find(key, at) + key.size();
    return std::string(line.substr(from, line.find(' ', from) - from));
  };
  const std::string member = value("name="), standing = value("standing=");
  const bool is_live_state = standing == "alive" || standing == "suspected" || standing == "leaving";
  is_live_state ? void(it->second.logged_live.insert(member)) : void(it->second.logged_live.erase(member));
}

void MembershipChecker::check_converged(Micros now) {
  for (const auto& [name, process] : running_) {
    if (has_logs_ && process.logged_live != process.listed)
      report(MembershipRule::log_consistency, now,
             name + ": its log names " + std::to_string(process.logged_live.size()) + " there, its view " +
                 std::to_string(process.listed.size()));
  }
  ++observations_;
  if (const std::string failure = convergence_failure(); !failure.empty())
    report(MembershipRule::convergence, now, failure);
}

}  // namespace flintweir::lab
