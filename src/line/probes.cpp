#include "line/probes.h"

#include "line/protocol.h"

namespace flintweir::line {
namespace {

using namespace std::chrono_literals;

constexpr Micros kGivesWay = 10s;

}  // namespace

void Probes::ask(HostId host, const Address* at) {
  const auto [it, fresh] = by_host_.try_emplace(host.value);
  if (fresh) it->second = probes_.acquire(*this);
  probes_.find(it->second)->ask(host, at);
}

void Probes::forget(HostId host) {
  const auto it = by_host_.find(host.value);
  if (it == by_host_.end()) return;
  probes_.find(it->second)->drop();
  probes_.release(it->second);
  by_host_.erase(it);
}

void Probes::give_way(HostId host) {
  const auto it = by_host_.find(host.value);
  if (it != by_host_.end()) probes_.find(it->second)->give_way();
}

// Guards against a hundred nodes whose kept connections fill the host's table while their sessions are turned
// away.
void Probes::Probe::give_way() {
  keeps_from_ = probes_.timers_.now() + kGivesWay;
  if (!asking_) stream_.close();
}

void Probes::Probe::drop() {
  ++token_;
  asking_ = false;
  stream_.close();
}

void Probes::Probe::ask(HostId host, const Address* at) {
  if (std::exchange(asking_, true)) return;  // the answer under way serves both
  host_ = host;
  asked_at_ = probes_.timers_.now();
  // A host may come back at a new address.
  if (at && at_ != *at) stream_.close();
  if (at) at_ = *at;
  ++token_;
  // What lies there already answers no question of now: taken for this one's it would be an older load.
  if (stream_.open() && !stream_.reusable()) stream_.close();
  kept_ = stream_.open();
  if (kept_)
    send();
  else if (!at || !stream_.connect(at_, *this))
    return probes_.timers_.schedule(Micros{0}, *this, token_);
  probes_.timers_.schedule(probes_.answer_within_, *this, token_);
}

void Probes::Probe::connected(Stream&, ConnectResult result) {
  result == ConnectResult::established ? send() : broken(stream_);
}

void Probes::Probe::send() {
  sent_ = 0;
  send_rest();
}

void Probes::Probe::send_rest() {
  constexpr std::string_view kQuestion = "STATS\r\n";
  const auto n = stream_.write(kQuestion.substr(sent_));
  if (!n) return broken(stream_);
  sent_ += *n;
  if (sent_ < kQuestion.size()) stream_.want_write();
  stream_.want_read();
}

void Probes::Probe::input_ready(Stream&) {
  const auto line = stream_.input().line();
  if (!line) {
    if (stream_.at_eof() || stream_.input().full()) return broken(stream_);
    return stream_.want_read();
  }
  std::string_view rest;
  const bool pong = parse_host_message(trim_line_end(*line), rest) == HostMessage::pong;
  const LoadReport report = pong ? parse_load_report(rest) : LoadReport{};
  stream_.input().consume(line->size());
  if (!pong || stream_.at_eof() || probes_.timers_.now() < keeps_from_) stream_.close();
  // What nobody asked for is no answer to the next question.
  if (!asking_) return stream_.close();
  if (stream_.open()) stream_.want_read();
  end(pong ? DialOutcome::completed : DialOutcome::error_reply, report);
}

void Probes::Probe::broken(Stream&) {
  stream_.close();
  if (!asking_) return;
  // A kept connection may have been closed by the host while it was idle: that says nothing of the host.
  // The module may be in the middle of asking: it is told in a later turn.
  if (std::exchange(kept_, false)) {
    if (!stream_.connect(at_, *this)) probes_.timers_.schedule(Micros{0}, *this, token_);
    return;
  }
  end(DialOutcome::connection_lost, {});
}

void Probes::Probe::timer_expired(std::uint64_t token) {
  if (token != token_ || !asking_) return;
  stream_.close();  // an answer that comes later must not be taken for the next one's
  end(DialOutcome::timed_out, {});
}

void Probes::Probe::end(DialOutcome how, const LoadReport& report) {
  ++token_;
  asking_ = false;
  probes_.told_.probed(host_, how, probes_.timers_.now() - asked_at_, report);
}

}  // namespace flintweir::line
