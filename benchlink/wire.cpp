#include "wire.h"

#include <array>
#include <charconv>
#include <cmath>
#include <unordered_map>
#include <vector>

#include "setup/deployment.h"

namespace flintweir::benchlink {
namespace {

using setup::throw_invalid_input;
using simdjson::dom::array;
using simdjson::dom::element;

// A host's id is worked out from its address alone, so that it is the same at every node.
HostId host_id(std::string_view address) { return {setup::hash_name(address)}; }

// The values of one message, read in their order; `what` names it in complaints.
class Reader {
 public:
  Reader(array values, std::string_view what, std::size_t skip) : what_(what) {
    it_ = values.begin();
    end_ = values.end();
    for (; skip > 0 && it_ != end_; --skip) ++it_;
  }

  std::optional<element> next() {
    if (it_ == end_) return std::nullopt;
    const element e = *it_;
    ++it_;
    return e.is_null() ? std::nullopt : std::optional(e);
  }
  element need(std::string_view field) {
    const auto e = next();
    if (!e) throw_invalid_input(std::string(what_) + ": " + std::string(field) + " is missing");
    return *e;
  }
  std::uint64_t number(std::string_view field) { return whole(need(field), field); }
  std::uint64_t number_or(std::uint64_t other, std::string_view field) {
    const auto e = next();
    return e ? whole(*e, field) : other;
  }
  std::optional<std::uint64_t> maybe(std::string_view field) {
    const auto e = next();
    return e ? std::optional(whole(*e, field)) : std::nullopt;
  }
  Micros time(std::string_view field) { return Micros{static_cast<std::int64_t>(number(field))}; }
  std::string_view text(std::string_view field) {
    std::string_view out;
    if (need(field).get(out)) wrong(field, "a text");
    return out;
  }
  double real(std::string_view field) {
    double out;
    if (need(field).get(out)) wrong(field, "a number");
    return out;
  }
  bool yes(std::string_view field) {
    bool out;
    if (need(field).get(out)) wrong(field, "true or false");
    return out;
  }
  array row(std::string_view field) {
    array out;
    if (need(field).get(out)) wrong(field, "a list");
    return out;
  }
  [[noreturn]] void wrong(std::string_view field, std::string_view wanted) {
    throw_invalid_input(std::string(what_) + ": " + std::string(field) + " is not " + std::string(wanted));
  }

 private:
  std::uint64_t whole(element e, std::string_view field) {
    if (std::uint64_t u; !e.get(u)) return u;
    if (std::int64_t i; !e.get(i)) return static_cast<std::uint64_t>(i);
    if (double d; !e.get(d) && std::isfinite(d) && std::fabs(d) < 9e18) {
      return static_cast<std::uint64_t>(static_cast<std::int64_t>(d));
    }
    wrong(field, "a whole number");
  }

  std::string_view what_;
  array::iterator it_, end_;
};

DialOutcome ending_coded(std::uint64_t code) {
  constexpr std::array endings{DialOutcome::completed,      DialOutcome::error_reply,
                               DialOutcome::rejected,       DialOutcome::timed_out,
                               DialOutcome::connect_failed, DialOutcome::connection_lost,
                               DialOutcome::cancelled,      DialOutcome::not_sent};
  if (code >= endings.size()) throw_invalid_input("unknown verdict " + std::to_string(code));
  return endings[code];
}

HostStatus standing_named(std::string_view name) {
  if (name == "IN") return HostStatus::active;
  if (name == "LAME") return HostStatus::draining;
  if (name == "OUT") return HostStatus::removed;
  throw_invalid_input("DIRECTORY: unknown condition '" + std::string(name) + "'");
}

struct Entry {
  std::string address;
  std::uint64_t zone, cell;
  HostStatus standing;
  double share;
  Micros started;
};

// The replies' text: messages of one batch, from all nodes.
class Reply {
 public:
  void clear() {
    text_ = "{\"output\":[";
    first_ = true;
  }
  std::string_view finish() { return text_ += "]}"; }
  Reply& message(std::string_view name, std::uint64_t who) {
    text_ += first_ ? "[\"" : ",[\"";
    first_ = false;
    text_ += name;
    text_ += '"';
    return number(static_cast<std::int64_t>(who));
  }
  Reply& number(std::int64_t n) {
    std::array<char, 24> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n).ptr;
    text_ += ',';
    text_.append(digits.data(), end);
    return *this;
  }
  Reply& text(std::string_view t) {
    text_ += ",\"";
    for (const char c : t) {
      if (c == '"' || c == '\\') text_ += '\\';
      text_ += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    text_ += '"';
    return *this;
  }
  Reply& word(std::string_view w) {
    text_ += ',';
    text_ += w;
    return *this;
  }
  void end() { text_ += ']'; }

 private:
  std::string text_;
  bool first_ = true;
};

// One instance: its balancer, the handles of its sessions, and the addresses its lists have named.
class Node final : public BalancerDelegate {
 public:
  Node(Reply& reply, std::uint64_t who, std::uint64_t seed, element env) : reply_(reply), who_(who) {
    const setup::JsonObject settings(env, "CONFIGURE: env");
    listener_count_ = setup::read_names(settings, "listeners").size();
    fields_ = setup::read_report_fields(settings);
    balancer_ = setup::create_balancer(settings, *this, seed);
  }

  void at(Micros now) { balancer_->set_time(now); }

  void job_in(Reader& r) {
    const SessId id{r.number("rid")};
    SessionRequest taken = listener(r);
    taken.tenant.value = static_cast<std::uint32_t>(r.number_or(0, "billing"));
    if (const auto key = r.maybe("nameKey")) taken.client = ClientKey{*key};
    taken.deadline = r.time("validUntil");
    const auto hint = r.maybe("sizeHint");
    if (const auto group = r.maybe("channel")) taken.group = GroupId{*group};
    flags(taken, r.number_or(0, "bitmap"), hint);
    keep(id, balancer_->start_session(id, taken));
  }

  void inherited(Reader& r) {
    const SessId id{r.number("rid")};
    std::optional<ClientKey> client;
    if (const auto key = r.maybe("nameKey")) client = ClientKey{*key};
    const auto hint = r.maybe("sizeHint");
    const Micros valid_until{static_cast<std::int64_t>(r.number_or(0, "validUntil"))};
    const std::uint64_t bits = r.number_or(0, "bitmap");
    const auto group = r.maybe("channel");
    const std::uint64_t tenant = r.number_or(0, "billing");
    SessionRequest taken = listener(r);
    taken.client = client;
    taken.deadline = valid_until;
    if (group) taken.group = GroupId{*group};
    taken.tenant.value = static_cast<std::uint32_t>(tenant);
    flags(taken, bits, hint);
    keep(id, balancer_->adopt_session(id, taken, name(r.text("host"))));
  }

  void flowing(Reader& r) {
    const SessId id{r.number("rid")};
    r.text("host");
    const DialNo dial{static_cast<std::uint32_t>(r.number("shot"))};
    on(id, [&](SessionHandle& s) { s.dial_accepted(dial); });
  }

  void progress(Reader& r) {
    const SessId id{r.number("rid")};
    r.number("shot");
    r.text("host");
    const std::uint64_t what = r.number("what");
    const double amount = r.real("amount");
    if (what == 1) on(id, [&](SessionHandle& s) { s.set_load(amount); });
    if (what == 2)
      on(id, [&](SessionHandle& s) { s.set_message_delay(Micros{std::llround(amount * 1000)}); });
  }

  void settled(Reader& r) {
    const SessId id{r.number("rid")};
    const DialNo dial{static_cast<std::uint32_t>(r.number("shot"))};
    const bool over = r.yes("doneFlag");
    r.number("latency");
    const DialOutcome ending = ending_coded(r.number("verdict"));
    on(id, [&](SessionHandle& s) { s.dial_ended(dial, ending, over); });
  }

  void gone(Reader& r) {
    on(SessId{r.number("rid")}, [](SessionHandle& s) { s.client_left(); });
  }

  void probe_done(Reader& r) {
    const Micros took = r.time("latency");
    const std::string_view host = r.text("host");
    const DialOutcome how = ending_coded(r.number("verdict"));
    LoadReport report;
    if (const auto values = r.next()) {
      array row;
      if (values->get(row)) r.wrong("report", "a list");
      Reader v(row, "a load report", 0);
      for (const std::string& field : fields_) {
        const auto e = v.next();
        if (!e) continue;
        double value;
        if (e->get(value)) v.wrong(field, "a number");
        setup::set_report_field(report, field, value);
      }
    }
    balancer_->probe_ended(name(host), how, took, report);
  }

  void tick_due(Reader& r) {
    const std::string_view token = r.text("name");
    std::uint64_t wake = 0;
    const auto end = std::from_chars(token.data(), token.data() + token.size(), wake);
    if (end.ec != std::errc{} || end.ptr != token.data() + token.size()) return;
    balancer_->timer_expired(TimerId{wake});
  }

  void update(const std::vector<Entry>* list, std::string_view mode) {
    if (mode == "broken") return balancer_->list_failed();
    if (!list) throw_invalid_input("UPDATE: names a table that no DIRECTORY has filled");
    balancer_->begin_list(mode != "patch");
    for (const Entry& e : *list) {
      balancer_->list_host(name(e.address), ZoneId{static_cast<std::uint32_t>(e.zone)},
                           CellId{static_cast<std::uint32_t>(e.cell)}, e.standing, e.share, e.started);
    }
    balancer_->end_list();
  }

  void dial(SessId s, HostId host, Micros limit) override {
    reply_.message("ROUTE", who_).number(rid(s)).text(names_.at(host.value)).number(limit.count()).end();
  }
  void refuse(SessId s, Micros away, RefusalReason) override {
    reply_.message("NOT_NOW", who_).number(rid(s)).number(away.count()).end();
  }
  void tear_down(SessId s, RefusalReason) override { reply_.message("ABORT", who_).number(rid(s)).end(); }
  void move(SessId s) override { reply_.message("SHIFT", who_).number(rid(s)).end(); }
  void probe(HostId host) override { reply_.message("ASK_LOAD", who_).text(names_.at(host.value)).end(); }
  void set_timer(Micros in, TimerId wake) override {
    reply_.message("TIMER", who_).number(in.count()).text(std::to_string(wake.value)).end();
  }
  void watch_list() override { reply_.message("OBSERVE", who_).word("true").end(); }
  void forget_host(HostId) override {}  // a node may send to any host that a list of its own has named
  void log(std::string_view line) override { reply_.message("LOG", who_).text(line).end(); }
  void log(std::string_view line, HostId host) override {
    log(std::string(line) + ": " + names_.at(host.value));
  }

 private:
  static std::int64_t rid(SessId s) { return static_cast<std::int64_t>(s.value); }

  HostId name(std::string_view address) {
    const HostId id = host_id(address);
    names_.try_emplace(id.value, address);
    return id;
  }

  SessionRequest listener(Reader& r) {
    SessionRequest taken{};
    const std::uint64_t service = r.number("service");
    if (service >= listener_count_) r.wrong("service", "one of the listeners");
    taken.listener.value = static_cast<std::uint32_t>(service);
    return taken;
  }

  static void flags(SessionRequest& taken, std::uint64_t bits, std::optional<std::uint64_t> hint) {
    if (bits & 1 && hint) taken.expected_load = static_cast<double>(*hint);
    taken.is_retry = bits & 2;
    taken.is_reconnect = bits & 16;
  }

  void keep(SessId id, SessionHandle s) {
    if (s.live()) sessions_.insert_or_assign(id.value, s);
  }

  // Calls on a session that is still known; a batch fixed earlier may name one that is over.
  template <class Call>
  void on(SessId id, Call call) {
    const auto it = sessions_.find(id.value);
    if (it == sessions_.end()) return;
    call(it->second);
    if (!it->second.live()) sessions_.erase(it);
  }

  Reply& reply_;
  std::uint64_t who_;
  std::size_t listener_count_ = 0;
  std::vector<std::string> fields_;
  std::unordered_map<std::uint64_t, std::string> names_;
  std::unordered_map<std::uint64_t, SessionHandle> sessions_;
  std::unique_ptr<Balancer> balancer_;
};

}  // namespace

struct Wire::Inner {
  simdjson::dom::parser parser;
  Reply reply;
  std::array<std::optional<std::vector<Entry>>, 16> tables;
  std::unordered_map<std::uint64_t, std::unique_ptr<Node>> nodes;
  Micros now{0};

  void event(element message) {
    array values;
    if (message.get(values)) throw_invalid_input("an item of a batch is not a list");
    std::string_view what;
    if (values.size() == 0 || values.at(0).get(what))
      throw_invalid_input("an item of a batch does not start with its name");
    Reader r(values, what, 1);
    if (what == "DIRECTORY") return directory(r);
    const std::uint64_t who = r.number("who");
    if (what == "CONFIGURE") {
      const std::uint64_t seed = r.number("prng");
      nodes[who] = std::make_unique<Node>(reply, who, seed, r.need("env"));
      return;
    }
    if (what == "DESTROY") {
      nodes.erase(who);
      return;
    }
    const auto it = nodes.find(who);
    if (it == nodes.end())
      throw_invalid_input(std::string(what) + ": instance " + std::to_string(who) + " was never configured");
    Node& node = *it->second;
    node.at(now);
    if (what == "JOB_IN")
      node.job_in(r);
    else if (what == "SETTLED")
      node.settled(r);
    else if (what == "FLOWING")
      node.flowing(r);
    else if (what == "PROGRESS")
      node.progress(r);
    else if (what == "PROBE_DONE")
      node.probe_done(r);
    else if (what == "TICK_DUE")
      node.tick_due(r);
    else if (what == "UPDATE")
      update(node, r);
    else if (what == "GONE")
      node.gone(r);
    else if (what == "INHERITED")
      node.inherited(r);
    else if (what != "DATAGRAM")
      throw_invalid_input("unknown event '" + std::string(what) + "'");
  }

  std::optional<std::vector<Entry>>& table(Reader& r) {
    const std::uint64_t number = r.number("table");
    if (number >= tables.size()) r.wrong("table", "a number from 0 to 15");
    return tables[number];
  }

  void directory(Reader& r) {
    auto& list = table(r).emplace();
    for (const element e : r.row("nodesList")) {
      array values;
      if (e.get(values)) r.wrong("an entry", "a list");
      Reader v(values, "DIRECTORY", 0);
      Entry entry;
      entry.address = v.text("host");
      entry.zone = v.number_or(0, "campus");
      v.number_or(0, "hw");
      entry.cell = v.number_or(0, "group");
      entry.standing = standing_named(v.text("condition"));
      const auto share = v.next();
      if (!share || share->get(entry.share)) entry.share = 1;
      entry.started = Micros{static_cast<std::int64_t>(v.number_or(0, "launched"))};
      list.push_back(std::move(entry));
    }
  }

  void update(Node& node, Reader& r) {
    r.number_or(0, "epoch");
    const std::uint64_t number = r.number_or(0, "table");
    const std::string_view mode = r.text("mode");
    if (mode != "patch" && mode != "whole" && mode != "stale_copy" && mode != "broken") {
      throw_invalid_input("UPDATE: unknown mode '" + std::string(mode) + "'");
    }
    const bool filled = mode != "broken" && number < tables.size() && tables[number];
    node.update(filled ? &*tables[number] : nullptr, mode);
  }
};

Wire::Wire() : inner_(std::make_unique<Inner>()) {}
Wire::~Wire() = default;

std::string_view Wire::answer(std::string_view batch) {
  element line;
  if (const auto error = inner_->parser.parse(batch.data(), batch.size()).get(line)) {
    throw_invalid_input(std::string("a batch is not JSON: ") + simdjson::error_message(error));
  }
  std::int64_t clock;
  if (line["t"].get(clock)) throw_invalid_input("a batch has no whole number 't' for its clock");
  inner_->now = Micros{clock};
  array items;
  if (line["items"].get(items)) throw_invalid_input("a batch has no list 'items'");
  inner_->reply.clear();
  for (const element e : items) inner_->event(e);
  return inner_->reply.finish();
}

}  // namespace flintweir::benchlink
