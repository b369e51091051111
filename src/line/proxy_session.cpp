#include "line/proxy_session.h"

#include <algorithm>

#include "line/sessions.h"
#include "net/log.h"
#include "setup/deployment.h"

namespace flintweir::line {
namespace {

using namespace std::chrono_literals;

constexpr Micros kHolderAgain = 250ms;  // between dials to the host that holds a connection already

}  // namespace

ProxySession::ProxySession(Sessions& s)
    : sessions_(s),
      client_(s.sockets_, s.timers_, s.idle_, s.patience_.first_line, *this),
      host_(s.sockets_, s.timers_, s.patience_.connect, *this),
      relay_(s.timers_, *this) {}

void ProxySession::begin(SlabKey key, SocketKey socket) {
  key_ = key;
  handle_ = SessionHandle();
  taken_ = SessionRequest{};
  logged_id_ = {};
  time_left_ = {};
  at_ = HostId{};
  dials_ = 0;
  inherited_ = answered_ = open_ = false;
  began_ = sessions_.timers_.now();
  client_.start(socket);
}

bool ProxySession::accepting_clients() const { return !sessions_.leaving_; }

void ProxySession::on_first_line(std::string_view line) {
  began_ = sessions_.timers_.now();
  logged_id_ = LoggedId(loggable_id(line));
  std::string_view at;
  ConnectionId id;
  if (!sessions_.heads_.parse(line, began_, taken_, id, at, time_left_))
    return answer("ERR\r\n", Reason::bad_line);
  // Refused before the module hears of it: nothing has been dialled.
  if (sessions_.leaving_) {
    // Where clients can be told so, they come back when fronts know that this node is away.
    const Micros away = std::min<Micros>(Sessions::kFrontNotices, sessions_.patience_.longest_stay_away);
    return sessions_.busy(*this, away, Reason::restarting);
  }
  if (!sessions_.has_room()) return answer("BUSY\r\n", Reason::no_descriptors);
  if (!sessions_.ids_.claim(id)) return answer("ERR\r\n", Reason::id_in_use);
  id_ = id;
  if (!at.empty()) {
    inherited_ = true;
    at_ = HostId{setup::hash_name(at)};
    return dial_holder();
  }
  const SessionHandle handle = sessions_.balancer_now().start_session(SessId{key_.packed()}, taken_);
  if (!answered_) handle_ = handle;
}

void ProxySession::dial(HostId host, Micros within) {
  at_ = host;
  ++dials_;
  const Micros left = taken_.deadline - sessions_.timers_.now();
  const Micros limit = within > 0us ? std::min(within, left) : left;
  const HostTable::Host* h = sessions_.hosts_.find(host);
  if (dials_ > 1)
    log_line("retry id=%s host=%s dials=%u", logged_id_.text(), sessions_.hosts_.name(host), dials_);
  if (!h || !sessions_.has_room()) return host_.fail_later();
  host_.dial(h->address, client_.first_line(), time_left_, limit);
}

// A connection that was open before this node's: only its holder can go on with it.
void ProxySession::dial_holder() {
  if (!answered_) dial(at_, 0us);
}

void ProxySession::answer(std::string_view line, Reason reason, std::optional<RefusalReason> refusal) {
  answered_ = true;
  log_end(code_of(reason), refusal);
  client_.answer(line);
}

void ProxySession::move(Reason why) {
  if (open_) relay_.move(why);
}

void ProxySession::on_client_left() {
  if (answered_) return;
  ++sessions_.clients_gone_;
  const bool dialling = host_.in_progress();
  host_.cancel();
  if (handle_.live()) {
    sessions_.balancer_now();
    handle_.client_left();
    if (dialling) handle_.dial_ended(dial_no(), DialOutcome::cancelled, true);
  }
  // It may have ended only its sending; then this is its one final answer.
  answer("ERR\r\n", Reason::left);
}

void ProxySession::on_client_failed(Reason reason) {
  answered_ = true;
  log_end(code_of(reason));
}

void ProxySession::on_client_closed() { free(); }

void ProxySession::free() {
  if (id_) sessions_.ids_.retire(*std::exchange(id_, std::nullopt));
  sessions_.free(key_);
}

bool ProxySession::confirm_client_waiting() {
  if (client_.check_waiting()) return true;
  ++sessions_.dials_not_begun_;
  return false;
}

bool ProxySession::confirm_dial() {
  if (!confirm_client_waiting()) return false;
  if (inherited_ || sessions_.balancer_now().may_dial(at_)) return true;
  host_.cancel();
  on_dial_ended(DialOutcome::not_sent);
  return false;
}

void ProxySession::on_host_accepted() {
  open_ = answered_ = true;
  Balancer& balancer = sessions_.balancer_now();
  if (inherited_)
    handle_ = balancer.adopt_session(SessId{key_.packed()}, taken_, at_);
  else
    handle_.dial_accepted(dial_no());
  relay_.start(client_.release_stream(), host_.release_stream());
  // Too late for its turn among the others.
  if (sessions_.leaving_ && sessions_.timers_.now() >= sessions_.move_from_) move(Reason::restarting);
}

void ProxySession::on_dial_ended(DialOutcome how) {
  log_end(code_of(how));
  if (how == DialOutcome::rejected || how == DialOutcome::connect_failed)
    sessions_.probes_.stop_keeping_connection(at_);
  if (!inherited_) {
    sessions_.balancer_now();
    return handle_.dial_ended(dial_no(), how, false);
  }
  const bool never_ran =
      how == DialOutcome::connect_failed || how == DialOutcome::rejected || how == DialOutcome::not_sent;
  if (!never_ran || sessions_.timers_.now() + kHolderAgain >= taken_.deadline)
    return answer(never_ran ? "BUSY\r\n" : "ERR\r\n", never_ran ? Reason::refused : Reason::torn_down);
  sessions_.again(key_, kHolderAgain);
}

void ProxySession::on_host_load(double micros_per_s) {
  sessions_.balancer_now();
  handle_.set_load(micros_per_s);
}

void ProxySession::on_message_delay(Micros delay) {
  if (!sessions_.delay_counts(at_, delay)) return;
  sessions_.balancer_now();
  handle_.set_message_delay(delay);
}

void ProxySession::on_relay_ended(DialOutcome how, Reason why) {
  open_ = false;
  log_end(code_of(why));
  sessions_.balancer_now();
  handle_.dial_ended(dial_no(), how, true);
}

void ProxySession::on_relay_closed() { free(); }

void ProxySession::log_end(const char* code, std::optional<RefusalReason> refusal) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(sessions_.timers_.now() - began_).count();
  log_line("end %s id=%s client=%016llx host=%s listener=%u dials=%u ms=%lld%s%s", code, logged_id_.text(),
           static_cast<unsigned long long>(taken_.client.value_or(ClientKey{}).value),
           sessions_.hosts_.name(at_), taken_.listener.value, dials_, static_cast<long long>(ms),
           refusal ? " why=" : "", refusal ? code_of(*refusal) : "");
}

}  // namespace flintweir::line
