#include "line/proxy_session.h"

#include <algorithm>

#include "line/sessions.h"
#include "net/log.h"
#include "setup/deployment.h"

namespace flintweir::line {
namespace {

using namespace std::chrono_literals;

constexpr Micros kCurrentHostRetryDelay = 250ms;  // between dials to the host that already holds a session

}  // namespace

ProxySession::ProxySession(Sessions& sessions)
    : sessions_(sessions),
      client_conn_(sessions.sockets_, sessions.timers_, sessions.idle_clients_, sessions.timeouts_.first_line,
                   *this),
      host_conn_(sessions.sockets_, sessions.timers_, sessions.timeouts_.connect, *this),
      relay_(sessions.timers_, *this) {}

void ProxySession::start(SlabKey key, SocketKey socket) {
  key_ = key;
  sess_ = SessionHandle();
  request_ = SessionRequest{};
  logged_id_ = {};
  time_left_ = {};
  host_id_ = HostId{};
  dial_count_ = 0;
  id_sent_ = adopted_ = answered_ = relaying_ = false;
  started_at_ = sessions_.timers_.now();
  client_conn_.start(socket);
}

Readiness ProxySession::readiness() const { return sessions_.readiness_; }

void ProxySession::on_first_line(std::string_view line) {
  started_at_ = sessions_.timers_.now();
  logged_id_ = LoggedId(loggable_id(line));
  std::string_view current_host;
  ConnectionId id;
  if (!sessions_.open_line_parser_.parse(line, started_at_, request_, id, current_host, time_left_))
    return answer("ERR\r\n", Reason::bad_line);
  // The following refusals need no call of the balancer: it does not know the session yet and nothing has
  // been dialled.
  if (sessions_.readiness_ == Readiness::leaving) {
    // If BUSY may carry a retry delay, clients come back when the load balancers in front have noticed that
    // this node is shutting down.
    const Micros retry_after =
        std::min<Micros>(Sessions::kFrontCheckDelay, sessions_.timeouts_.max_retry_after);
    return sessions_.answer_busy(*this, retry_after, Reason::restarting);
  }
  if (!sessions_.has_room()) return answer("BUSY\r\n", Reason::no_descriptors);
  if (!sessions_.connection_ids_.claim(id)) return answer("ERR\r\n", Reason::id_in_use);
  id_ = id;
  if (!current_host.empty()) {
    adopted_ = true;
    host_id_ = HostId{setup::hash_name(current_host)};
    return dial_current_host();
  }
  const SessionHandle sess = sessions_.balancer_now().start_session(SessId{key_.packed()}, request_);
  if (!answered_) sess_ = sess;
}

void ProxySession::dial(HostId host, Micros timeout) {
  host_id_ = host;
  ++dial_count_;
  const Micros time_left = request_.deadline - sessions_.timers_.now();
  const Micros limit = timeout > 0us ? std::min(timeout, time_left) : time_left;
  const HostTable::Host* entry = sessions_.hosts_.find(host);
  if (dial_count_ > 1)
    log_line("retry id=%s host=%s dials=%u", logged_id_.text(), sessions_.hosts_.name(host), dial_count_);
  if (!entry || !sessions_.has_room()) return host_conn_.fail_later();
  host_conn_.dial(entry->address, client_conn_.first_line(), time_left_, limit);
}

// For a session that was open before this connection: only the host that holds it can continue it.
void ProxySession::dial_current_host() {
  if (!answered_) dial(host_id_, 0us);
}

void ProxySession::answer(std::string_view line, Reason reason, std::optional<RefusalReason> refusal) {
  answered_ = true;
  log_end(code_of(reason), refusal);
  client_conn_.answer(line);
}

void ProxySession::move(Reason reason) {
  if (relaying_) relay_.move(reason);
}

void ProxySession::on_client_left() {
  if (answered_) return;
  ++sessions_.clients_gone_;
  const bool dial_pending = host_conn_.in_progress();
  host_conn_.cancel();
  if (sess_.live()) {
    sessions_.balancer_now();
    sess_.client_left();
    if (dial_pending) sess_.dial_ended(dial_no(), DialOutcome::cancelled, true);
  }
  // The client may have closed only its sending direction, in which case it still reads this final answer.
  answer("ERR\r\n", Reason::left);
}

void ProxySession::on_client_failed(Reason reason) {
  answered_ = true;
  log_end(code_of(reason));
}

void ProxySession::on_client_closed() { release(); }

void ProxySession::release() {
  if (const auto id = std::exchange(id_, std::nullopt))
    id_sent_ ? sessions_.connection_ids_.retire(*id) : sessions_.connection_ids_.release(*id);
  sessions_.remove(key_);
}

bool ProxySession::confirm_client_waiting() {
  if (client_conn_.check_waiting()) return true;
  ++sessions_.dials_not_begun_;
  return false;
}

bool ProxySession::confirm_dial() {
  if (!confirm_client_waiting()) return false;
  if (adopted_ || sessions_.balancer_now().may_dial(host_id_)) return id_sent_ = true;
  host_conn_.cancel();
  on_dial_ended(DialOutcome::not_sent);
  return false;
}

void ProxySession::on_host_accepted() {
  relaying_ = answered_ = true;
  Balancer& balancer = sessions_.balancer_now();
  if (adopted_)
    sess_ = balancer.adopt_session(SessId{key_.packed()}, request_, host_id_);
  else
    sess_.dial_accepted(dial_no());
  relay_.start(client_conn_.release_stream(), host_conn_.release_stream());
  // Accepted after the staggered moves have begun, so it is moved at once.
  if (sessions_.readiness_ == Readiness::leaving && sessions_.timers_.now() >= sessions_.moves_start_at_)
    move(Reason::restarting);
}

void ProxySession::on_dial_ended(DialOutcome outcome) {
  log_end(code_of(outcome));
  if (outcome == DialOutcome::rejected || outcome == DialOutcome::connect_failed)
    sessions_.probes_.stop_keeping_connection(host_id_);
  if (!adopted_) {
    sessions_.balancer_now();
    return sess_.dial_ended(dial_no(), outcome, false);
  }
  const bool never_ran = outcome == DialOutcome::connect_failed || outcome == DialOutcome::rejected ||
                         outcome == DialOutcome::not_sent;
  if (!never_ran || sessions_.timers_.now() + kCurrentHostRetryDelay >= request_.deadline)
    return answer(never_ran ? "BUSY\r\n" : "ERR\r\n", never_ran ? Reason::refused : Reason::torn_down);
  sessions_.redial_after(key_, kCurrentHostRetryDelay);
}

void ProxySession::on_host_load(double micros_per_s) {
  sessions_.balancer_now();
  sess_.set_load(micros_per_s);
}

void ProxySession::on_message_delay(Micros delay) {
  if (!sessions_.should_report_delay(host_id_, delay)) return;
  sessions_.balancer_now();
  sess_.set_message_delay(delay);
}

void ProxySession::on_relay_ended(DialOutcome outcome, Reason reason) {
  relaying_ = false;
  log_end(code_of(reason));
  sessions_.balancer_now();
  sess_.dial_ended(dial_no(), outcome, true);
}

void ProxySession::on_relay_closed() { release(); }

void ProxySession::log_end(const char* code, std::optional<RefusalReason> refusal) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(sessions_.timers_.now() - started_at_).count();
  log_line("end %s id=%s client=%016llx host=%s listener=%u dials=%u ms=%lld%s%s", code, logged_id_.text(),
           static_cast<unsigned long long>(request_.client.value_or(ClientKey{}).value),
           sessions_.hosts_.name(host_id_), request_.listener.value, dial_count_, static_cast<long long>(ms),
           refusal ? " why=" : "", refusal ? code_of(*refusal) : "");
}

}  // namespace flintweir::line
