#include "lab/checks/interleaving.h"

#include <algorithm>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>

#include "lab/network/fabric.h"
#include "net/log.h"
#include "net/stream.h"
#include "node/node.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kStart{1'700'000'000'000'000};  // any time far from zero
constexpr Micros kDialTimeout = 2s, kGrace = 300ms, kCrosses = 1ms, kSlack = 50ms;
constexpr Micros kToHosts = 230ms;  // so that a connection takes nearly all the time it may
constexpr Micros kLate = 600ms;     // more than a dial is given
constexpr Micros kLeft = 50ms;      // after a client has left, nothing new is sent for it
constexpr Micros kPause = 50ms;     // from the cut to the event, and to the rest
constexpr Micros kBusy = 600ms;     // without processor time
constexpr Micros kLasts = 14s, kListLasts = 40s;
constexpr std::string_view kSaid = "hello\r\n", kServed = "UP r1\r\nworld\r\nBYE\r\n";
constexpr const char* kTexts[] = {"client", "host", "list"};
constexpr const char* kEventNames[] = {
    "client-ends", "client-resets", "host-ends",   "host-resets", "stop", "reload",     "drain",
    "late",        "silence",       "turned-away", "queued",      "away", "silent-turn"};
constexpr Micros kTold = 6s, kTurnTold = 4s;  // the protocol's figures, as the node may not choose them
constexpr Micros kFails = 9s, kQueue = 9s, kAway = 8s;

// One end of a connection that a test holds: what came, and how it ended.
struct End final : net::StreamEvents {
  explicit End(net::Sockets& sockets) : stream(sockets) {}
  void connected(net::Stream& s, net::ConnectResult result) override {
    if (result != net::ConnectResult::established) return broken(s);
    if (up) up();
    s.want_read();
  }
  void input_ready(net::Stream& s) override {
    got += s.input().buffered();
    s.input().clear();
    if (s.at_eof()) over = true;
    if (heard) heard();
    s.want_read();
  }
  void broken(net::Stream& s) override {
    over = true;
    s.close();
    if (heard) heard();
  }
  void say(std::string_view text) {
    if (stream.open() && !stream.send_closed()) stream.write(text);
  }
  net::Stream stream;
  std::string got;
  bool over = false;
  std::function<void()> up, heard;
};

// A machine with one process on it, which may listen.
struct Actor final : net::AcceptEvents {
  Actor(Fabric& fabric, MachineNo no) : machine(no), process(fabric, no, 1000), sockets(process, 1000) {}
  void listen() {
    process.listen(Fabric::address(machine, 8081));
    process.wait_accept(*this);
  }
  void connection_pending() override {
    for (net::AcceptResult a = process.accept(); a.status == net::IoStatus::done; a = process.accept()) {
      End& end = ends.emplace_back(sockets);
      end.stream.adopt(a.socket, end);
      end.heard = [this, &end] { heard(end); };
      end.stream.want_read();
    }
    process.wait_accept(*this);
  }
  MachineNo machine;
  Process process;
  net::Sockets sockets;
  std::list<End> ends;
  std::function<void(End&)> heard = [](End&) {};
};

class Play final : net::LogSink {
 public:
  explicit Play(const Interleaving& c)
      : c_(c),
        timeline_(kStart),
        fabric_(timeline_, Carriage{kCrosses, kToHosts, {}, 0, 64 << 10, 0}, c.seed),
        node_machine_(fabric_.add_machine({0})),
        client_(fabric_, fabric_.add_machine({0})),
        hosts_{{fabric_, fabric_.add_machine({1})}, {fabric_, fabric_.add_machine({1})}},
        lists_{{fabric_, fabric_.add_machine({0})}, {fabric_, fabric_.add_machine({0})}},
        end_(kStart + (c.text == Interleaving::Text::list ? kListLasts : kLasts)) {
    net::set_log_sink(this);
    for (std::size_t i = 0; i < 2; ++i) {
      hosts_[i].heard = [this, i](End& e) { host_heard(i, e); };
      lists_[i].heard = [this, i](End& e) { list_heard(i, e); };
      hosts_[i].listen();
      lists_[i].listen();
    }
    process_ = std::make_unique<Process>(fabric_, node_machine_, 1000);
    node_ = std::make_unique<node::Node>(*process_, *node::NodeConfig::from_text(config(0)));
    node_->serve();
  }
  ~Play() {
    process_->kill();
    node_.reset();
    net::set_log_sink(nullptr);
  }

  std::vector<std::string> run() {
    watch_process();
    if (c_.text == Interleaving::Text::list) {
      for (Micros at = kStart + 500ms; at < end_ - 3s; at += 200ms)
        timeline_.at(at, [this] { begin_client(); });
    } else {
      timeline_.at(kStart + 100ms, [this] { begin_client(); });
      // Whoever comes after must find nothing spoilt.
      timeline_.at(end_ - 3s, [this] { begin_client(); });
    }
    timeline_.run_until(end_);
    judge();
    return broken_;
  }

 private:
  struct Client {
    explicit Client(net::Sockets& sockets) : end(sockets) {}
    End end;
    std::string head;
    unsigned number = 0;
    std::optional<Micros> asked, left, answered;  // when its head was whole, it left, it heard of it
    std::size_t dials = 0, ran = 0;               // heads begun at hosts, and whole ones
    End* dial = nullptr;                          // the latest at a host
    bool host_failed = false;                     // its host broke it off or fell silent
  };

  void write_line(const char*) override {}
  Micros now() const { return timeline_.now(); }
  void broke(const std::string& rule, const std::string& what) {
    broken_.push_back(rule + ": at " + std::to_string((now() - kStart).count()) + " us: " + what);
  }

  std::string config(std::size_t list) const {
    const auto target = [&](std::size_t i) { return entry(i, "SERVING"); };
    nlohmann::json listener{{"name", "chat"},           {"handshakeTarget", 2'000'000},
                            {"dialTimeout", 2'000'000}, {"effect", c_.once ? "once" : "repeatable"},
                            {"group", "all"},           {"utility", 2}};
    return nlohmann::json{{"name", "n"},
                          {"listen", to_text(Fabric::address(node_machine_, 8081))},
                          {"discovery", to_text(Fabric::address(lists_[list].machine, 8081))},
                          {"seed", std::to_string(c_.seed)},
                          {"limits", {{"memory_mb", 64}, {"sockets", 256}}},
                          {"known", {{"rev", 1}, {"all", true}, {"targets", {target(0), target(1)}}}},
                          {"settings",
                           {{"balancers", 1},
                            {"myZone", 0},
                            {"failureDomains", {"a"}},
                            {"discovery", "on_request"},
                            {"listeners", {listener}},
                            {"ceilings", {{"maxDials", 4}, {"connectTimeout", 1'000'000}, {"probes", false}}},
                            {"rules",
                             {{"askEvery", 10'000'000},
                              {"drainGrace", kGrace.count()},
                              {"cold", 7'000'000},
                              {"coldShare", 0.3},
                              {"overloadFactor", 3.0},
                              {"tipAfter", 1'500'000}}},
                            {"prices", nlohmann::json::object()},
                            {"reporting", {{"fields", {"x0"}}}}}}}
        .dump();
  }
  nlohmann::json entry(std::size_t host, const char* state) const {
    return {{"uid", host ? "s-b" : "s-a"},
            {"endpoint", to_text(Fabric::address(hosts_[host].machine, 8081))},
            {"az", "a"},
            {"pod_group", 1},
            {"state", state},
            {"capacity_hint", 1.0},
            {"boot_ms", 0}};
  }

  // A node that has ended is gone with its connections, as a process is.
  void watch_process() {
    if (process_->stopped()) process_->kill();
    if (stopped_at_ && process_->running() && now() > *stopped_at_ + kDialTimeout + 700ms) {
      broke("stop", "the node still runs");
      stopped_at_.reset();
    }
    timeline_.after(10ms, [this] { watch_process(); });
  }

  // The text goes out up to the cut; then the event, then the rest.
  void cut(std::string_view text, std::size_t before, std::function<void(std::string_view)> say) {
    before = std::min(before, text.size());
    say(text.substr(0, before));
    if (std::exchange(crossed_, true)) return say(text.substr(before));
    const auto rest = [say, rest = std::string(text.substr(before))] { say(rest); };
    using E = Interleaving::Event;
    if (!c_.busy) {
      timeline_.after(kPause, [this] { happen(); });
      if (c_.event != E::silence) timeline_.after(c_.event == E::late ? kLate : 2 * kPause, rest);
      return;
    }
    // A connection to a host comes up before the event, and is heard of with it.
    timeline_.after(kPause, [this] { process_->freeze(true); });
    timeline_.after(kBusy - 2 * kPause, [this, rest] {
      happen();
      if (c_.event != E::silence) timeline_.after(c_.event == E::late ? kLate : kPause, rest);
    });
    timeline_.after(kBusy, [this] { process_->freeze(false); });
  }

  void happen() {
    using E = Interleaving::Event;
    if (c_.text == Interleaving::Text::list) {
      // Its watch is broken off, or says no more; a new configuration turns to another service.
      if (c_.event == E::host_resets && dial_of_list_) dial_of_list_->stream.abort();
      if (c_.event == E::reload) reload();
      // SIGTERM, twice, while the file of a SIGHUP is read: they are heard one after the other.
      if (c_.event == E::stop) {
        stopped_at_ = now() + when_free();
        reload();
        for (int i = 0; i < 2; ++i) signal([this] { node_->shut_down(); });
      }
      return;
    }
    Client& first = clients_.front();
    End* const dial = first.dial;
    switch (c_.event) {
      case E::client_ends:
        first.left = now();
        return first.end.stream.shutdown_send();
      case E::client_resets:
        first.left = now();
        return first.end.stream.abort();
      case E::host_ends:
      case E::host_resets:
        first.host_failed = true;
        if (dial) c_.event == E::host_ends ? dial->stream.shutdown_send() : dial->stream.abort();
        return;
      case E::stop:
        stopped_at_ = now() + when_free();
        return signal([this] { node_->shut_down(); });
      case E::reload:
        return reload();
      case E::drain:
        drained_ = true;
        for (End& call : lists_[0].ends) tell(0, call);
        return;
      case E::late:
      case E::silence:
        first.host_failed = first.host_failed || c_.text == Interleaving::Text::host;
        return;
      case E::turned_away:
      case E::queued:
      case E::away:
      case E::silent_turn:
        return;  // the list's own
    }
  }
  void reload() {
    signal([this] {
      node_->reload(
          [this] { return std::pair(node::NodeConfig::from_text(config(1)), setup::OperatorFile()); });
    });
  }
  Micros when_free() const { return c_.busy ? 2 * kPause + 1us : 0us; }
  // A process that has no time hears of a signal when it has.
  void signal(std::function<void()> act) {
    timeline_.after(when_free(), [this, act = std::move(act)] {
      if (process_->running()) act();
    });
  }

  void begin_client() {
    if (!process_->running() || stopped_at_) return;
    Client& c = clients_.emplace_back(client_.sockets);
    c.number = static_cast<unsigned>(clients_.size());
    c.head = "OPEN " + std::to_string(c.number) + " 7f c=chat,d=2000\r\n";
    const bool eager = c_.eager && c.number == 1;
    const std::string text = c.head + (eager ? std::string(kSaid) : "");
    c.end.up = [this, &c, text] {
      const auto say = [this, &c, sent = std::make_shared<std::size_t>(0)](std::string_view part) {
        if (c.left || c.end.over) return;
        c.end.say(part);
        *sent += part.size();
        if (*sent >= c.head.size() && !c.asked) c.asked = now();
      };
      if (c.number == 1 && c_.text == Interleaving::Text::client) return cut(text, c_.byte, say);
      say(text);
    };
    c.end.heard = [this, &c, eager] {
      if (!c.answered && !c.end.got.empty()) {
        c.answered = now();
        if (c.end.got.starts_with("UP") && !eager && !c.left) c.end.say(kSaid);
      }
      if (c.end.over && c.end.stream.open()) c.end.stream.close();
    };
    c.end.stream.connect(Fabric::address(node_machine_, 8081), c.end);
  }

  Client* client_of(const std::string& head) {
    for (Client& c : clients_)
      if (head.starts_with("OPEN " + std::to_string(c.number) + " ")) return &c;
    return nullptr;
  }

  void host_heard(std::size_t host, End& e) {
    if (e.got.empty()) return;
    const std::size_t whole = e.got.find("\r\n");
    Client* const c = client_of(e.got);
    if (!c || (c->dial == &e && (whole == e.got.npos || seen_.contains(&e)))) return;
    if (c->dial != &e) {
      ++c->dials;
      if (c->left && now() - kToHosts > *c->left + kLeft)
        broke("left-dialled", "a client that had left is sent on");
      if (c->dial && c->dial->stream.open() && !c->dial->over)
        broke("effect", "a second dial while the first is out");
      if (host == 0 && told_ && now() - kToHosts > *told_ + kGrace + kSlack)
        broke("drain", "a draining host is dialled");
      c->dial = &e;
    }
    if (whole == e.got.npos) return;
    seen_.insert(&e);
    ++c->ran;
    if (c->ran > 1 && c_.once) broke("effect", "sent twice, once only");
    const auto finish = [this, &e, sent = std::make_shared<std::size_t>(0)](std::string_view part) {
      e.say(part);
      if ((*sent += part.size()) == kServed.size())
        timeline_.after(kCrosses, [&e] { e.stream.shutdown_send(); });
    };
    if (c->number == 1 && c_.text == Interleaving::Text::host) return cut(kServed, c_.byte, finish);
    finish(kServed);
  }

  // Discovery: answers a watch when there is something new, and a whole list at once.
  void list_heard(std::size_t list, End& call) {
    if (!call.got.ends_with("\r\n\r\n")) return;
    const bool watch = call.got.find("since=") != call.got.npos;
    if (troubled(list, call)) return;
    if (c_.text == Interleaving::Text::list && list == 0 && !crossed_) {
      dial_of_list_ = &call;
      // What the watch keeps back counts as told so long after it fell silent, or after its wait.
      const Micros told = std::max(now() + 400ms + kTold, now() + wait_of(call) + 2s);
      call.got.clear();
      timeline_.after(400ms, [this, &call, told] {
        drained_ = true;
        if (!told_) told_ = told;
        cut(answer(0), c_.byte, [&call](std::string_view part) { call.say(part); });
      });
      return;
    }
    if (watch && !drained_) return;
    tell(list, call);
  }
  static Micros wait_of(const End& call) {
    const auto at = call.got.find("timeout_ms=");
    return at == call.got.npos ? 0us : std::chrono::milliseconds(std::stoi(call.got.substr(at + 11)));
  }
  // The service that fails in one of the ways of the list alone. The byte says how long after a call came.
  bool troubled(std::size_t list, End& call) {
    using E = Interleaving::Event;
    if (c_.event < E::turned_away) return false;
    const Micros step = 7ms * static_cast<std::int64_t>(c_.byte);
    if (!std::exchange(crossed_, true)) {
      timeline_.after(step, [this, &call, step] {
        fails_until_ = now() + kFails;
        drained_ = c_.event != E::away;
        if (drained_) told_ = now() + (c_.event == E::silent_turn ? kTurnTold : kTold);
        if (c_.event == E::queued) {
          told_ = std::max(*told_, now() - step + wait_of(call) + 2s);
          fails_until_ = *told_ + 3s;  // so that the call after the watch is not answered in time either
        }
        if (c_.event == E::silent_turn) return reload();
        if (c_.event == E::away) {
          for (End& e : lists_[0].ends) e.stream.abort();
          lists_[0].process.stop_listening();
          timeline_.after(kAway, [this] {
            lists_[0].listen();
            drained_ = true;
            told_ = now() + kTold;
          });
          return;
        }
        if (c_.event == E::turned_away) turn_away(call);
      });
      return true;
    }
    if (c_.event == E::silent_turn && (list == 0 || !fails_until_)) return true;
    if (!fails_until_ || now() >= *fails_until_ || c_.event == E::away) return false;
    if (c_.event == E::turned_away) turn_away(call);
    if (c_.event == E::queued) timeline_.after(kQueue, [this, list, &call] { tell(list, call); });
    return true;
  }
  void turn_away(End& call) {
    call.got.clear();
    if (resets_next_) {
      call.stream.abort();
    } else {
      call.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    resets_next_ = !resets_next_;
  }
  void tell(std::size_t list, End& call) {
    if (!call.got.ends_with("\r\n\r\n") || !call.stream.open()) return;
    if (call.got.find("since=") != call.got.npos && call.got.find("since=1&") == call.got.npos) return;
    call.got.clear();
    call.say(answer(list));
    if (drained_) told_ = std::min(told_.value_or(Micros::max()), now());
  }
  std::string answer(std::size_t list) const {
    const std::string body =
        nlohmann::json{{"rev", drained_ ? 2 : 1},
                       {"all", true},
                       {"targets", {entry(0, drained_ ? "DRAINING" : "SERVING"), entry(1, "SERVING")}}}
            .dump(list ? 2 : -1);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void judge() {
    for (Client& c : clients_) {
      std::string got = c.end.got;
      const std::string who = "client " + std::to_string(c.number) + ", which heard '" + got + "'";
      const bool up = got.starts_with("UP");
      const Micros patience = kDialTimeout + 2 * kSlack + (c_.busy ? kBusy : 0us);
      if (c.asked && !c.left && (!c.answered || *c.answered > *c.asked + patience))
        broke("answer", who + ", got no answer in time");
      if (got.ends_with("MOVE\r\n")) got.resize(got.size() - 6);
      const bool refused =
          got == "ERR\r\n" || (got.starts_with("BUSY") && got.find("\r\n") == got.size() - 2);
      if (!got.empty() && !(up ? kServed.starts_with(got) : refused))
        broke("line", who + ", heard what no host said");
      // A host that has answered all it was asked may be silent for good.
      const bool owed = !c.host_failed || !got.ends_with("world\r\n");
      if (up && !c.left && !c.end.over && owed) broke("ended", who + ", was left open");
      // Served to its end, unless its host failed it, it had to move, or left.
      const bool moved = c.end.got.ends_with("MOVE\r\n");
      if (up && !moved && !c.left && !c.host_failed && got != kServed) broke("line", who + ", lost a line");
      if (c.number > 1 && c_.text != Interleaving::Text::list && got != kServed)
        broke("spoilt", who + ", came when all was over");
      if (c.end.over && c.dial && c.dial->stream.open() && !c.dial->over)
        broke("ended", who + ": its host was left");
    }
    // A list that nobody can reach keeps nobody waiting, and one that is back is read in time.
    const auto all_served = [](const Client& c) { return c.left || c.end.got == kServed; };
    if (c_.event == Interleaving::Event::away && !std::all_of(clients_.begin(), clients_.end(), all_served))
      broke("answer", "a client was not served, though no list could be had");
    if (c_.event >= Interleaving::Event::turned_away && clients_.back().end.got != kServed)
      broke("spoilt", "the last client was not served");
  }

  Interleaving c_;
  Timeline timeline_;
  Fabric fabric_;
  MachineNo node_machine_;
  Actor client_;
  Actor hosts_[2], lists_[2];
  Micros end_;
  std::unique_ptr<Process> process_;
  std::unique_ptr<node::Node> node_;
  std::list<Client> clients_;
  std::set<const End*> seen_;  // whose head was whole
  End* dial_of_list_ = nullptr;
  bool crossed_ = false, drained_ = false, resets_next_ = false;
  std::optional<Micros> told_, stopped_at_, fails_until_;
  std::vector<std::string> broken_;
};

}  // namespace

std::string to_text(const Interleaving& c) {
  return std::string(kTexts[static_cast<int>(c.text)]) + " byte " + std::to_string(c.byte) + ", " +
         kEventNames[static_cast<int>(c.event)] + (c.busy ? ", busy" : "") + (c.eager ? ", eager" : "") +
         (c.once ? ", once only" : "");
}

std::vector<std::string> run_interleaving(const Interleaving& interleaving) {
  return Play(interleaving).run();
}

std::vector<Interleaving> all_interleavings() {
  const std::size_t sizes[] = {std::string_view("OPEN 1 7f c=chat,d=2000\r\n").size() + kSaid.size(),
                               kServed.size(), 420};
  std::vector<Interleaving> all;
  for (int text = 0; text < 3; ++text) {
    for (std::size_t byte = 0; byte <= sizes[text]; byte += text == 2 ? 7 : 1) {
      for (std::size_t event = 0; event < Interleaving::kEvents; ++event) {
        for (unsigned how = 0; how < 8; ++how) {
          const Interleaving c{static_cast<Interleaving::Text>(text),
                               byte,
                               static_cast<Interleaving::Event>(event),
                               (how & 1) != 0,
                               (how & 2) != 0,
                               (how & 4) != 0,
                               1 + byte};
          using E = Interleaving::Event;
          const bool of_list = c.event >= E::turned_away;
          if (text == 2 ? how & 6 || !(of_list || c.event == E::silence || c.event == E::host_resets ||
                                       c.event == E::reload || c.event == E::stop)
                        : of_list)
            continue;
          if (of_list && (c.busy || byte % 28)) continue;
          all.push_back(c);
        }
      }
    }
  }
  return all;
}

}  // namespace flintweir::lab
