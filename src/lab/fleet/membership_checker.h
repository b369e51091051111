// Checks the rules of the membership protocol from outside the nodes: by the views that they return, the
// processes that were started, ended or paused, the bytes that each sent and the lines that each logged. No
// I/O and no clock.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "members/view_query.h"

namespace flintweir::lab {

enum class MembershipRule {
  convergence,  // within a limit after the last fault, all running nodes have one view of exactly these nodes
  no_false_failure,  // no node that runs and is reachable is reported failed or forced to a new generation
  no_ghost,  // an ended process does not come back to life by an old update, or stay alive in a view for long
  monotonicity,     // no generation, incarnation or state of a member goes backwards
  send_limit,       // no node sends more than the stated number of bytes per second
  responsiveness,   // a running node answers view queries and serves clients
  log_consistency,  // the membership changes that a node logs lead to the view that it returns
};
const char* name_of(MembershipRule rule);

struct MembershipViolation {
  MembershipRule rule;
  Micros at;
  std::string description;
};

class MembershipChecker {
 public:
  MembershipChecker(Micros probe_interval, std::function<void(const MembershipViolation&)> on_violation);

  // A process of that name has started; it has exited or was killed.
  void process_started(const std::string& name, Micros now);
  void process_ended(const std::string& name, Micros now);
  // From now on, others may report this node failed; this node may report others failed.
  void allow_reported_failed(const std::string& name) { may_be_reported_.insert(name); }
  void allow_reporting_failures(const std::string& name) { may_report_.insert(name); }
  void set_paused(const std::string& name, bool paused, Micros now);
  // A process answered a view query.
  void receive_view(const std::string& name, const members::ViewQuery& view, Micros now);
  void datagram_sent(const std::string& name, std::size_t bytes, Micros now);
  void report_unanswered(const std::string& name, const std::string& description, Micros now);
  // Takes the lines of a running process's log in order, beginning at its start. They have to be complete
  // before check_converged() is called.
  void receive_log_line(const std::string& name, std::string_view line);
  // Checks that the last views agree and are consistent with the logs.
  void check_converged(Micros now);

  // Whether the last views of all running nodes are the same and list exactly these nodes.
  bool converged() const;
  // Whether no last view of a running node that is not paused lists `name` in a live state.
  bool all_consider_gone(const std::string& name) const;
  // Whether the last views of all running nodes that are not paused list `name`.
  bool all_list(const std::string& name) const;
  // The number of processes that any node reported failed while they ran, whether that was allowed or not.
  std::size_t running_reported_failed() const { return running_reported_failed_.size(); }
  // The number of views and final checks.
  std::uint64_t observations() const { return observations_; }
  std::size_t running_count() const { return running_.size(); }
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  // What a node last returned about a member.
  struct LastRow {
    members::Generation generation;
    std::uint32_t incarnation = 0;
    members::Generation failed_generation;  // the latest one that was reported failed
  };
  struct Running {
    std::uint64_t digest = 0;
    members::Generation generation;
    std::map<std::string, LastRow> rows;
    std::set<std::string> listed;  // members in a live state, in the last view
    Micros since{0};               // the start of the process or the end of its last pause
    std::uint64_t exact_at = 0;    // the value of running_changes_ at which its last view was exact, or zero
    std::set<std::string> logged_live;  // members in a live state, by its log
    bool answered = false, paused = false;
    Micros second_start{0};  // of the second in which `second_bytes` are counted
    std::size_t second_bytes = 0;
  };
  // Empty if the last views agree on exactly the running nodes.
  std::string convergence_failure() const;
  void report(MembershipRule rule, Micros now, std::string description) {
    on_violation_({rule, now, std::move(description)});
  }

  Micros probe_interval_;
  std::function<void(const MembershipViolation&)> on_violation_;
  std::map<std::string, Running> running_;
  std::map<std::string, Micros> last_end_;  // by name of the process
  // The generations that a node returned for itself: the first one of its running process, and the latest
  // one.
  std::map<std::string, members::Generation> first_generation_, last_generation_;
  std::set<std::string> may_be_reported_, may_report_;
  std::set<std::pair<std::string, members::Generation>> running_reported_failed_;
  bool has_logs_ = false;              // false for the baseline protocols, which log nothing
  std::uint64_t running_changes_ = 1;  // how often the set of running processes changed
  std::uint64_t observations_ = 0, sent_bytes_ = 0;
};

}  // namespace flintweir::lab
