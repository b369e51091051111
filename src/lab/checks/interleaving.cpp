#include "lab/checks/interleaving.h"

#include <algorithm>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>

#include "lab/network/virtual_network.h"
#include "net/log.h"
#include "net/stream.h"
#include "node/node.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kStart{1'700'000'000'000'000};  // an arbitrary time far from zero
constexpr Micros kDialTimeout = 2s, kGrace = 300ms;
constexpr Micros kLinkDelay = 1ms;   // one way between the machines of the node's zone
constexpr Micros kTolerance = 50ms;  // tolerance of the checks
// One way to hosts; a connect then takes nearly all the time that it may.
constexpr Micros kHostLinkDelay = 230ms;
constexpr Micros kLateDelay = 600ms;      // longer than the node gives a dial
constexpr Micros kLeaveTolerance = 50ms;  // after a client has left, nothing more may be sent on for it
constexpr Micros kPause = 50ms;           // between the cut and the event, and between the event and the rest
constexpr Micros kBusyTime = 600ms;       // how long a busy node gets no processor time
constexpr Micros kRunTime = 14s, kListRunTime = 40s;
constexpr std::string_view kClientLine = "hello\r\n", kHostText = "UP r1\r\nworld\r\nBYE\r\n";
constexpr const char* kStreamNames[] = {"client", "host", "list"};
constexpr const char* kEventNames[] = {
    "client-ends", "client-resets", "host-ends",   "host-resets", "stop", "reload",     "drain",
    "late",        "silence",       "turned-away", "queued",      "away", "silent-turn"};
// By when a node has to know a change of the list; fixed by the protocol, not configurable on a node.
constexpr Micros kChangeDeadline = 6s, kMoveDeadline = 4s;
constexpr Micros kFaultTime = 9s, kQueueTime = 9s, kAwayTime = 8s;

// The test's end of a connection: records what was received and whether the other side closed.
struct TestConnection final : net::StreamEvents {
  explicit TestConnection(net::Sockets& sockets) : stream(sockets) {}
  void connected(net::Stream& source, net::ConnectResult result) override {
    if (result != net::ConnectResult::established) return broken(source);
    if (on_connected) on_connected();
    source.want_read();
  }
  void input_ready(net::Stream& source) override {
    received += source.input().buffered();
    source.input().clear();
    if (source.at_eof()) closed = true;
    if (on_input) on_input();
    source.want_read();
  }
  void broken(net::Stream& source) override {
    closed = true;
    source.close();
    if (on_input) on_input();
  }
  void send(std::string_view text) {
    if (stream.open() && !stream.send_closed()) stream.write(text);
  }
  net::Stream stream;
  std::string received;
  bool closed = false;
  std::function<void()> on_connected, on_input;
};

// A machine with one process, which can accept connections.
struct TestMachine final : net::AcceptEvents {
  TestMachine(VirtualNetwork& network, MachineId machine_no)
      : machine(machine_no), process(network, machine_no, 1000), sockets(process, 1000) {}
  void listen() {
    process.listen(VirtualNetwork::address(machine, 8081));
    process.wait_accept(*this);
  }
  void connection_pending() override {
    for (net::AcceptResult accepted = process.accept(); accepted.status == net::IoStatus::done;
         accepted = process.accept()) {
      TestConnection& connection = connections.emplace_back(sockets);
      connection.stream.adopt(accepted.socket, connection);
      connection.on_input = [this, &connection] { on_input(connection); };
      connection.stream.want_read();
    }
    process.wait_accept(*this);
  }
  MachineId machine;
  Process process;
  net::Sockets sockets;
  std::list<TestConnection> connections;
  std::function<void(TestConnection&)> on_input = [](TestConnection&) {};
};

// Plays one interleaving in virtual time and checks what the clients, hosts and list services observed.
class InterleavingRun final : net::LogSink {
 public:
  explicit InterleavingRun(const Interleaving& interleaving)
      : interleaving_(interleaving),
        event_queue_(kStart),
        network_(event_queue_, LinkModel{kLinkDelay, kHostLinkDelay, {}, 0, 64 << 10, 0}, interleaving.seed),
        node_machine_(network_.add_machine({0})),
        client_(network_, network_.add_machine({0})),
        hosts_{{network_, network_.add_machine({1})}, {network_, network_.add_machine({1})}},
        lists_{{network_, network_.add_machine({0})}, {network_, network_.add_machine({0})}},
        run_end_(kStart + (interleaving.stream == Interleaving::Stream::list ? kListRunTime : kRunTime)) {
    net::set_log_sink(this);
    for (std::size_t i = 0; i < 2; ++i) {
      hosts_[i].on_input = [this, i](TestConnection& connection) { host_input(i, connection); };
      lists_[i].on_input = [this, i](TestConnection& connection) { list_input(i, connection); };
      hosts_[i].listen();
      lists_[i].listen();
    }
    process_ = std::make_unique<Process>(network_, node_machine_, 1000);
    node_ = std::make_unique<node::Node>(*process_, *node::NodeConfig::from_text(config(0)));
    node_->serve();
  }
  ~InterleavingRun() {
    process_->kill();
    node_.reset();
    net::set_log_sink(nullptr);
  }

  std::vector<std::string> run() {
    watch_process();
    if (interleaving_.stream == Interleaving::Stream::list) {
      for (Micros at = kStart + 500ms; at < run_end_ - 3s; at += 200ms)
        event_queue_.schedule_at(at, [this] { start_client(); });
    } else {
      event_queue_.schedule_at(kStart + 100ms, [this] { start_client(); });
      // A client that comes after the event has to be served as usual.
      event_queue_.schedule_at(run_end_ - 3s, [this] { start_client(); });
    }
    event_queue_.run_until(run_end_);
    check_results();
    return violations_;
  }

 private:
  struct Client {
    explicit Client(net::Sockets& sockets) : connection(sockets) {}
    TestConnection connection;
    std::string request;
    unsigned number = 0;
    // When its request had been sent whole, when it left, when it first received something.
    std::optional<Micros> request_sent_at, left_at, answered_at;
    std::size_t dials = 0, requests_received = 0;  // requests begun at hosts, and those received whole
    TestConnection* latest_dial = nullptr;
    bool host_failed = false;  // its host closed, reset or fell silent
  };

  void write_line(const char*) override {}
  Micros now() const { return event_queue_.now(); }
  void report(const std::string& rule, const std::string& what) {
    violations_.push_back(rule + ": at " + std::to_string((now() - kStart).count()) + " us: " + what);
  }

  std::string config(std::size_t list) const {
    const auto target = [&](std::size_t i) { return host_entry(i, "SERVING"); };
    nlohmann::json listener{
        {"name", "chat"},           {"handshakeTarget", 2'000'000},
        {"dialTimeout", 2'000'000}, {"effect", interleaving_.once ? "once" : "repeatable"},
        {"group", "all"},           {"utility", 2}};
    return nlohmann::json{{"name", "n"},
                          {"listen", to_text(VirtualNetwork::address(node_machine_, 8081))},
                          {"discovery", to_text(VirtualNetwork::address(lists_[list].machine, 8081))},
                          {"seed", std::to_string(interleaving_.seed)},
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
  nlohmann::json host_entry(std::size_t host, const char* state) const {
    return {{"uid", host ? "s-b" : "s-a"},
            {"endpoint", to_text(VirtualNetwork::address(hosts_[host].machine, 8081))},
            {"az", "a"},
            {"pod_group", 1},
            {"state", state},
            {"capacity_hint", 1.0},
            {"boot_ms", 0}};
  }

  // Closes the connections of a node that has stopped, as the exit of a process does.
  void watch_process() {
    if (process_->stopped()) process_->kill();
    if (stopped_at_ && process_->running() && now() > *stopped_at_ + kDialTimeout + 700ms) {
      report("stop", "the node still runs");
      stopped_at_.reset();
    }
    event_queue_.schedule_after(10ms, [this] { watch_process(); });
  }

  // Sends the text up to the cut, triggers the event, then sends the rest.
  void send_cut(std::string_view text, std::size_t cut_at, std::function<void(std::string_view)> send) {
    cut_at = std::min(cut_at, text.size());
    send(text.substr(0, cut_at));
    if (std::exchange(cut_done_, true)) return send(text.substr(cut_at));
    const auto rest = [send, rest = std::string(text.substr(cut_at))] { send(rest); };
    using Event = Interleaving::Event;
    if (!interleaving_.busy) {
      event_queue_.schedule_after(kPause, [this] { trigger_event(); });
      if (interleaving_.event != Event::silence)
        event_queue_.schedule_after(interleaving_.event == Event::late ? kLateDelay : 2 * kPause, rest);
      return;
    }
    // A connection to a host is established before the event; the node is notified of both together.
    event_queue_.schedule_after(kPause, [this] { process_->freeze(true); });
    event_queue_.schedule_after(kBusyTime - 2 * kPause, [this, rest] {
      trigger_event();
      if (interleaving_.event != Event::silence)
        event_queue_.schedule_after(interleaving_.event == Event::late ? kLateDelay : kPause, rest);
    });
    event_queue_.schedule_after(kBusyTime, [this] { process_->freeze(false); });
  }

  void trigger_event() {
    using Event = Interleaving::Event;
    if (interleaving_.stream == Interleaving::Stream::list) {
      // The watch is reset or left without a further answer, or a new configuration names another service.
      if (interleaving_.event == Event::host_resets && list_call_) list_call_->stream.abort();
      if (interleaving_.event == Event::reload) reload();
      // Two SIGTERMs while the configuration is reread after SIGHUP; signals are handled one after the other.
      if (interleaving_.event == Event::stop) {
        stopped_at_ = now() + busy_delay();
        reload();
        for (int i = 0; i < 2; ++i) deliver_signal([this] { node_->shut_down(); });
      }
      return;
    }
    Client& first = clients_.front();
    TestConnection* const dial = first.latest_dial;
    switch (interleaving_.event) {
      case Event::client_ends:
        first.left_at = now();
        return first.connection.stream.shutdown_send();
      case Event::client_resets:
        first.left_at = now();
        return first.connection.stream.abort();
      case Event::host_ends:
      case Event::host_resets:
        first.host_failed = true;
        if (dial)
          interleaving_.event == Event::host_ends ? dial->stream.shutdown_send() : dial->stream.abort();
        return;
      case Event::stop:
        stopped_at_ = now() + busy_delay();
        return deliver_signal([this] { node_->shut_down(); });
      case Event::reload:
        return reload();
      case Event::drain:
        host_draining_ = true;
        for (TestConnection& call : lists_[0].connections) send_list(0, call);
        return;
      case Event::late:
      case Event::silence:
        first.host_failed = first.host_failed || interleaving_.stream == Interleaving::Stream::host;
        return;
      case Event::turned_away:
      case Event::queued:
      case Event::away:
      case Event::silent_turn:
        return;  // faults of the list service, see apply_list_fault()
    }
  }
  void reload() {
    deliver_signal([this] {
      node_->reload(
          [this] { return std::pair(node::NodeConfig::from_text(config(1)), setup::OperatorFile()); });
    });
  }
  Micros busy_delay() const { return interleaving_.busy ? 2 * kPause + 1us : 0us; }
  // A process without processor time handles a signal when it runs again.
  void deliver_signal(std::function<void()> handler) {
    event_queue_.schedule_after(busy_delay(), [this, handler = std::move(handler)] {
      if (process_->running()) handler();
    });
  }

  void start_client() {
    if (!process_->running() || stopped_at_) return;
    Client& client = clients_.emplace_back(client_.sockets);
    client.number = static_cast<unsigned>(clients_.size());
    client.request = "OPEN " + std::to_string(client.number) + " 7f c=chat,d=2000\r\n";
    const bool eager = interleaving_.eager && client.number == 1;
    const std::string text = client.request + (eager ? std::string(kClientLine) : "");
    client.connection.on_connected = [this, &client, text] {
      const auto send = [this, &client, sent = std::make_shared<std::size_t>(0)](std::string_view part) {
        if (client.left_at || client.connection.closed) return;
        client.connection.send(part);
        *sent += part.size();
        if (*sent >= client.request.size() && !client.request_sent_at) client.request_sent_at = now();
      };
      if (client.number == 1 && interleaving_.stream == Interleaving::Stream::client)
        return send_cut(text, interleaving_.byte, send);
      send(text);
    };
    client.connection.on_input = [this, &client, eager] {
      if (!client.answered_at && !client.connection.received.empty()) {
        client.answered_at = now();
        if (client.connection.received.starts_with("UP") && !eager && !client.left_at)
          client.connection.send(kClientLine);
      }
      if (client.connection.closed && client.connection.stream.open()) client.connection.stream.close();
    };
    client.connection.stream.connect(VirtualNetwork::address(node_machine_, 8081), client.connection);
  }

  Client* find_client(const std::string& request) {
    for (Client& client : clients_)
      if (request.starts_with("OPEN " + std::to_string(client.number) + " ")) return &client;
    return nullptr;
  }

  void host_input(std::size_t host, TestConnection& connection) {
    if (connection.received.empty()) return;
    const std::size_t request_end = connection.received.find("\r\n");
    Client* const client = find_client(connection.received);
    if (!client || (client->latest_dial == &connection &&
                    (request_end == connection.received.npos || complete_requests_.contains(&connection))))
      return;
    if (client->latest_dial != &connection) {
      ++client->dials;
      if (client->left_at && now() - kHostLinkDelay > *client->left_at + kLeaveTolerance)
        report("left-dialled", "a client that had left is sent on");
      if (client->latest_dial && client->latest_dial->stream.open() && !client->latest_dial->closed)
        report("effect", "a second dial while the first is out");
      if (host == 0 && drain_deadline_ && now() - kHostLinkDelay > *drain_deadline_ + kGrace + kTolerance)
        report("drain", "a draining host is dialled");
      client->latest_dial = &connection;
    }
    if (request_end == connection.received.npos) return;
    complete_requests_.insert(&connection);
    ++client->requests_received;
    if (client->requests_received > 1 && interleaving_.once) report("effect", "sent twice, once only");
    const auto send_and_close = [this, &connection,
                                 sent = std::make_shared<std::size_t>(0)](std::string_view part) {
      connection.send(part);
      if ((*sent += part.size()) == kHostText.size())
        event_queue_.schedule_after(kLinkDelay, [&connection] { connection.stream.shutdown_send(); });
    };
    if (client->number == 1 && interleaving_.stream == Interleaving::Stream::host)
      return send_cut(kHostText, interleaving_.byte, send_and_close);
    send_and_close(kHostText);
  }

  // Discovery: answers a watch when there is a change, and a request for the whole list at once.
  void list_input(std::size_t list, TestConnection& call) {
    if (!call.received.ends_with("\r\n\r\n")) return;
    const bool watch = call.received.find("since=") != call.received.npos;
    if (apply_list_fault(list, call)) return;
    if (interleaving_.stream == Interleaving::Stream::list && list == 0 && !cut_done_) {
      list_call_ = &call;
      // When the node has to know a change that the silent watch withholds: within the deadline after the
      // watch fell silent, or 2 s after its timeout if that is later.
      const Micros deadline = std::max(now() + 400ms + kChangeDeadline, now() + watch_timeout(call) + 2s);
      call.received.clear();
      event_queue_.schedule_after(400ms, [this, &call, deadline] {
        host_draining_ = true;
        if (!drain_deadline_) drain_deadline_ = deadline;
        send_cut(list_response(0), interleaving_.byte, [&call](std::string_view part) { call.send(part); });
      });
      return;
    }
    if (watch && !host_draining_) return;
    send_list(list, call);
  }
  static Micros watch_timeout(const TestConnection& call) {
    const auto at = call.received.find("timeout_ms=");
    return at == call.received.npos ? 0us
                                    : std::chrono::milliseconds(std::stoi(call.received.substr(at + 11)));
  }
  // Applies a fault of the list service; true if the call is not to be answered in the usual way. The fault
  // begins 7 ms times `byte` after the first call.
  bool apply_list_fault(std::size_t list, TestConnection& call) {
    using Event = Interleaving::Event;
    if (interleaving_.event < Event::turned_away) return false;
    const Micros delay = 7ms * static_cast<std::int64_t>(interleaving_.byte);
    if (!std::exchange(cut_done_, true)) {
      event_queue_.schedule_after(delay, [this, &call, delay] {
        fault_ends_at_ = now() + kFaultTime;
        host_draining_ = interleaving_.event != Event::away;
        if (host_draining_)
          drain_deadline_ =
              now() + (interleaving_.event == Event::silent_turn ? kMoveDeadline : kChangeDeadline);
        if (interleaving_.event == Event::queued) {
          drain_deadline_ = std::max(*drain_deadline_, now() - delay + watch_timeout(call) + 2s);
          fault_ends_at_ = *drain_deadline_ + 3s;  // so that the call after the watch times out as well
        }
        if (interleaving_.event == Event::silent_turn) return reload();
        if (interleaving_.event == Event::away) {
          for (TestConnection& connection : lists_[0].connections) connection.stream.abort();
          lists_[0].process.stop_listening();
          event_queue_.schedule_after(kAwayTime, [this] {
            lists_[0].listen();
            host_draining_ = true;
            drain_deadline_ = now() + kChangeDeadline;
          });
          return;
        }
        if (interleaving_.event == Event::turned_away) reject(call);
      });
      return true;
    }
    if (interleaving_.event == Event::silent_turn && (list == 0 || !fault_ends_at_)) return true;
    if (!fault_ends_at_ || now() >= *fault_ends_at_ || interleaving_.event == Event::away) return false;
    if (interleaving_.event == Event::turned_away) reject(call);
    if (interleaving_.event == Event::queued)
      event_queue_.schedule_after(kQueueTime, [this, list, &call] { send_list(list, call); });
    return true;
  }
  void reject(TestConnection& call) {
    call.received.clear();
    if (resets_next_) {
      call.stream.abort();
    } else {
      call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    resets_next_ = !resets_next_;
  }
  void send_list(std::size_t list, TestConnection& call) {
    if (!call.received.ends_with("\r\n\r\n") || !call.stream.open()) return;
    if (call.received.find("since=") != call.received.npos &&
        call.received.find("since=1&") == call.received.npos)
      return;
    call.received.clear();
    call.send(list_response(list));
    if (host_draining_) drain_deadline_ = std::min(drain_deadline_.value_or(Micros::max()), now());
  }
  std::string list_response(std::size_t list) const {
    const std::string body =
        nlohmann::json{
            {"rev", host_draining_ ? 2 : 1},
            {"all", true},
            {"targets", {host_entry(0, host_draining_ ? "DRAINING" : "SERVING"), host_entry(1, "SERVING")}}}
            .dump(list ? 2 : -1);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void check_results() {
    for (Client& client : clients_) {
      std::string got = client.connection.received;
      const std::string who = "client " + std::to_string(client.number) + ", which heard '" + got + "'";
      const bool up = got.starts_with("UP");
      const Micros answer_timeout = kDialTimeout + 2 * kTolerance + (interleaving_.busy ? kBusyTime : 0us);
      if (client.request_sent_at && !client.left_at &&
          (!client.answered_at || *client.answered_at > *client.request_sent_at + answer_timeout))
        report("answer", who + ", got no answer in time");
      if (got.ends_with("MOVE\r\n")) got.resize(got.size() - 6);
      const bool refused =
          got == "ERR\r\n" || (got.starts_with("BUSY") && got.find("\r\n") == got.size() - 2);
      if (!got.empty() && !(up ? kHostText.starts_with(got) : refused))
        report("line", who + ", heard what no host said");
      // After a host has failed, the session may be left open only if the host had answered everything by
      // then.
      const bool must_end = !client.host_failed || !got.ends_with("world\r\n");
      if (up && !client.left_at && !client.connection.closed && must_end)
        report("ended", who + ", was left open");
      // An accepted client receives everything, unless its host failed, it was moved, or it left.
      const bool moved = client.connection.received.ends_with("MOVE\r\n");
      if (up && !moved && !client.left_at && !client.host_failed && got != kHostText)
        report("line", who + ", lost a line");
      if (client.number > 1 && interleaving_.stream != Interleaving::Stream::list && got != kHostText)
        report("spoilt", who + ", came when all was over");
      if (client.connection.closed && client.latest_dial && client.latest_dial->stream.open() &&
          !client.latest_dial->closed)
        report("ended", who + ": its host was left");
    }
    // While discovery is unreachable clients are still served, and once it is back its list is read in time.
    const auto all_served = [](const Client& client) {
      return client.left_at || client.connection.received == kHostText;
    };
    if (interleaving_.event == Interleaving::Event::away &&
        !std::all_of(clients_.begin(), clients_.end(), all_served))
      report("answer", "a client was not served, though no list could be had");
    if (interleaving_.event >= Interleaving::Event::turned_away &&
        clients_.back().connection.received != kHostText)
      report("spoilt", "the last client was not served");
  }

  Interleaving interleaving_;
  EventQueue event_queue_;
  VirtualNetwork network_;
  MachineId node_machine_;
  TestMachine client_;
  TestMachine hosts_[2], lists_[2];
  Micros run_end_;
  std::unique_ptr<Process> process_;
  std::unique_ptr<node::Node> node_;
  std::list<Client> clients_;
  std::set<const TestConnection*> complete_requests_;  // whose request was received whole
  TestConnection* list_call_ = nullptr;
  bool cut_done_ = false, host_draining_ = false, resets_next_ = false;
  std::optional<Micros> drain_deadline_, stopped_at_, fault_ends_at_;
  std::vector<std::string> violations_;
};

}  // namespace

std::string to_text(const Interleaving& interleaving) {
  return std::string(kStreamNames[static_cast<int>(interleaving.stream)]) + " byte " +
         std::to_string(interleaving.byte) + ", " + kEventNames[static_cast<int>(interleaving.event)] +
         (interleaving.busy ? ", busy" : "") + (interleaving.eager ? ", eager" : "") +
         (interleaving.once ? ", once only" : "");
}

std::vector<std::string> run_interleaving(const Interleaving& interleaving) {
  return InterleavingRun(interleaving).run();
}

std::vector<Interleaving> all_interleavings() {
  const std::size_t sizes[] = {std::string_view("OPEN 1 7f c=chat,d=2000\r\n").size() + kClientLine.size(),
                               kHostText.size(), 420};
  std::vector<Interleaving> all;
  for (int stream = 0; stream < 3; ++stream) {
    for (std::size_t byte = 0; byte <= sizes[stream]; byte += stream == 2 ? 7 : 1) {
      for (std::size_t event = 0; event < Interleaving::kEvents; ++event) {
        for (unsigned flags = 0; flags < 8; ++flags) {
          const Interleaving interleaving{static_cast<Interleaving::Stream>(stream),
                                          byte,
                                          static_cast<Interleaving::Event>(event),
                                          (flags & 1) != 0,
                                          (flags & 2) != 0,
                                          (flags & 4) != 0,
                                          1 + byte};
          using Event = Interleaving::Event;
          const bool list_fault = interleaving.event >= Event::turned_away;
          if (stream == 2
                  ? flags & 6 || !(list_fault || interleaving.event == Event::silence ||
                                   interleaving.event == Event::host_resets ||
                                   interleaving.event == Event::reload || interleaving.event == Event::stop)
                  : list_fault)
            continue;
          if (list_fault && (interleaving.busy || byte % 28)) continue;
          all.push_back(interleaving);
        }
      }
    }
  }
  return all;
}

}  // namespace flintweir::lab
