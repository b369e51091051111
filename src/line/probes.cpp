#include "line/probes.h"

#include "line/protocol.h"

namespace flintweir::line {
namespace {

using namespace std::chrono_literals;

constexpr Micros kNoKeepTime = 10s;  // after the host turned a session away or could not be connected to

}  // namespace

void Probes::start(HostId host, const Address* address) {
  const auto [it, inserted] = by_host_.try_emplace(host.value);
  if (inserted) it->second = probes_.acquire(*this);
  probes_.find(it->second)->start(host, address);
}

void Probes::remove(HostId host) {
  const auto it = by_host_.find(host.value);
  if (it == by_host_.end()) return;
  probes_.find(it->second)->abort();
  probes_.release(it->second);
  by_host_.erase(it);
}

void Probes::stop_keeping_connection(HostId host) {
  const auto it = by_host_.find(host.value);
  if (it != by_host_.end()) probes_.find(it->second)->stop_keeping_connection();
}

// Otherwise the persistent connections of a hundred nodes could fill the host's connection table while it
// turns their sessions away.
void Probes::Probe::stop_keeping_connection() {
  keep_from_ = probes_.timers_.now() + kNoKeepTime;
  if (!pending_) stream_.close();
}

void Probes::Probe::abort() {
  ++token_;
  pending_ = false;
  stream_.close();
}

void Probes::Probe::start(HostId host, const Address* address) {
  if (std::exchange(pending_, true)) return;  // its answer serves both calls
  host_ = host;
  started_at_ = probes_.timers_.now();
  // A restarted host may have a new address.
  if (address && address_ != *address) stream_.close();
  if (address) address_ = *address;
  ++token_;
  // Input that is already there cannot be the answer to this request; read as such, it would be an older
  // load.
  if (stream_.open() && !stream_.reusable()) stream_.close();
  reused_ = stream_.open();
  if (reused_)
    send();
  else if (!address || !stream_.connect(address_, *this))
    return probes_.timers_.schedule(Micros{0}, *this, token_);
  probes_.timers_.schedule(probes_.timeout_, *this, token_);
}

void Probes::Probe::connected(Stream&, ConnectResult result) {
  result == ConnectResult::established ? send() : broken(stream_);
}

void Probes::Probe::send() {
  sent_ = 0;
  send_remaining();
}

void Probes::Probe::send_remaining() {
  constexpr std::string_view kRequest = "STATS\r\n";
  const auto n = stream_.write(kRequest.substr(sent_));
  if (!n) return broken(stream_);
  sent_ += *n;
  if (sent_ < kRequest.size()) stream_.want_write();
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
  if (!pong || stream_.at_eof() || probes_.timers_.now() < keep_from_) stream_.close();
  // An unsolicited line must not be taken for the answer to the next request.
  if (!pending_) return stream_.close();
  if (stream_.open()) stream_.want_read();
  finish(pong ? DialOutcome::completed : DialOutcome::error_reply, report);
}

void Probes::Probe::broken(Stream&) {
  stream_.close();
  if (!pending_) return;
  // The host may have closed a kept connection while it was idle, which is no sign of a failure: the probe is
  // repeated once on a new connection. If that cannot be opened, the timer reports the failure in a later
  // turn, as the balancer may be in the middle of its call to start this probe.
  if (std::exchange(reused_, false)) {
    if (!stream_.connect(address_, *this)) probes_.timers_.schedule(Micros{0}, *this, token_);
    return;
  }
  finish(DialOutcome::connection_lost, {});
}

void Probes::Probe::timer_expired(std::uint64_t token) {
  if (token != token_ || !pending_) return;
  stream_.close();  // a late answer must not be taken for that of the next probe
  finish(DialOutcome::timed_out, {});
}

void Probes::Probe::finish(DialOutcome outcome, const LoadReport& report) {
  ++token_;
  pending_ = false;
  probes_.events_.on_probe_ended(host_, outcome, probes_.timers_.now() - started_at_, report);
}

}  // namespace flintweir::line
