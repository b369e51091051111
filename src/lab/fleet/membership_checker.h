// Holds the fleet's own view against its rules, from outside: by what each process answers to whoever asks
// for its view, by what was done to whom, and by what each sent. No I/O and no clock.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "members/view_query.h"

namespace flintweir::lab {

enum class MembershipRule {
  settled,     // so long after the last trouble all that run hold one view, of exactly those
  falsely,     // a node that ran and was reached is called failed, or had to start anew
  ghost,       // a killed node comes back alive by an old word, or stands as alive for too long
  back,        // a start, a word or a standing goes back
  bound,       // a node sends more than is stated
  unanswered,  // a running node does not answer for its view or does not serve
  log,         // what a node logged does not lead to the view that it gives
};
const char* name_of(MembershipRule rule);

struct MembershipViolation {
  MembershipRule rule;
  Micros at;
  std::string description;
};

class MembershipChecker {
 public:
  MembershipChecker(Micros interval, std::function<void(const MembershipViolation&)> broken);

  // One process of that name more, and its end by itself or by a kill.
  void up(const std::string& name, Micros now);
  void down(const std::string& name, Micros now);
  // From now on others may call it failed; it may call others so.
  void may_be_failed(const std::string& name) { accused_.insert(name); }
  void may_accuse(const std::string& name) { accuses_.insert(name); }
  void paused(const std::string& name, bool on, Micros now);
  // A process answered for its view.
  void seen(const std::string& name, const members::ViewQuery& view, Micros now);
  void sent(const std::string& name, std::size_t bytes, Micros now);
  void unanswered(const std::string& name, const std::string& what, Micros now);
  // One line of a running process's log, from its start on, before settled().
  void logged(const std::string& name, std::string_view line);
  // The last views must be one by now, and what was logged must lead there.
  void settled(Micros now);

  // Whether all running ones were last seen with one view of exactly those.
  bool agree() const;
  // Whether all running ones were last seen holding `name` as failed or not at all.
  bool all_know_gone(const std::string& name) const;
  // Whether all running ones were last seen listing `name`.
  bool all_know(const std::string& name) const;
  // Processes called failed by any while they ran, whatever the reason.
  std::size_t called_failed() const { return called_failed_.size(); }
  std::uint64_t looks() const { return looks_; }
  std::size_t running() const { return running_.size(); }
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct Last {
    members::Generation start;
    std::uint32_t word = 0;
    members::Generation dead;  // the latest start that was called failed
  };
  struct Running {
    std::uint64_t digest = 0;
    members::Generation start;
    std::map<std::string, Last> holds;
    std::set<std::string> listed;  // in the last answer, and not failed
    Micros from{0};                // it runs, or goes on after a pause
    std::uint64_t exact_at = 0;    // the change of whoever runs at which its last answer listed exactly those
    std::set<std::string> logs_alive;  // whom its log says to be there
    bool asked = false, paused = false;
    Micros second{0};
    std::size_t bytes = 0;
  };
  std::string why_not_settled() const;
  void broken(MembershipRule rule, Micros now, std::string what) { broken_({rule, now, std::move(what)}); }

  Micros interval_;
  std::function<void(const MembershipViolation&)> broken_;
  std::map<std::string, Running> running_;
  std::map<std::string, Micros> down_;                                   // the last end of each name
  std::map<std::string, members::Generation> first_start_, last_start_;  // by what they say of themselves
  std::set<std::string> accused_, accuses_;
  std::set<std::pair<std::string, members::Generation>> called_failed_;
  bool logs_ = false;          // anybody; the plain ways of knowing each other log nothing
  std::uint64_t changes_ = 1;  // of whoever runs
  std::uint64_t looks_ = 0, sent_bytes_ = 0;
};

}  // namespace flintweir::lab
