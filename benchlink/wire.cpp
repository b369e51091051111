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

// Derived from the address alone, so that a host has the same id at every instance.
HostId host_id(std::string_view address) { return {setup::hash_name(address)}; }

// Bits of the field "bitmap".
constexpr std::uint64_t kHasSizeHint = 1, kIsRetry = 2, kIsReconnect = 16;
// Values of the field "what" of PROGRESS.
constexpr std::uint64_t kLoadProgress = 1, kMessageDelayProgress = 2;

constexpr double kMicrosPerMilli = 1000;
constexpr std::size_t kTableCount = 16;

// Reads the values of one message, which is an array, in their order. A null counts as absent, and so does a
// value behind the end of the array. The methods throw InvalidInput if a value has
// the wrong type; next() returns a value of any type.
class MessageReader {
 public:
  // `name` names the message in errors. The first `skip` values are ignored.
  MessageReader(array values, std::string_view name, std::size_t skip) : name_(name) {
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
  element required(std::string_view field) {
    const auto e = next();
    if (!e) throw_invalid_input(std::string(name_) + ": " + std::string(field) + " is missing");
    return *e;
  }
  std::uint64_t number(std::string_view field) { return to_integer(required(field), field); }
  std::uint64_t number_or(std::uint64_t fallback, std::string_view field) {
    const auto e = next();
    return e ? to_integer(*e, field) : fallback;
  }
  std::optional<std::uint64_t> optional_number(std::string_view field) {
    const auto e = next();
    return e ? std::optional(to_integer(*e, field)) : std::nullopt;
  }
  Micros time(std::string_view field) { return Micros{static_cast<std::int64_t>(number(field))}; }
  std::string_view text(std::string_view field) {
    std::string_view out;
    if (required(field).get(out)) throw_type_error(field, "a string");
    return out;
  }
  double real(std::string_view field) {
    double out;
    if (required(field).get(out)) throw_type_error(field, "a number");
    return out;
  }
  bool boolean(std::string_view field) {
    bool out;
    if (required(field).get(out)) throw_type_error(field, "true or false");
    return out;
  }
  array list(std::string_view field) {
    array out;
    if (required(field).get(out)) throw_type_error(field, "a list");
    return out;
  }
  [[noreturn]] void throw_type_error(std::string_view field, std::string_view expected) {
    throw_invalid_input(std::string(name_) + ": " + std::string(field) + " is not " + std::string(expected));
  }

 private:
  // Fractions are cut off; negative numbers wrap around as two's complement.
  std::uint64_t to_integer(element e, std::string_view field) {
    if (std::uint64_t u; !e.get(u)) return u;
    if (std::int64_t i; !e.get(i)) return static_cast<std::uint64_t>(i);
    if (double d; !e.get(d) && std::isfinite(d) && std::fabs(d) < kMaxInteger) {
      return static_cast<std::uint64_t>(static_cast<std::int64_t>(d));
    }
    throw_type_error(field, "a whole number");
  }

  static constexpr double kMaxInteger = 9e18;  // within the range of int64_t
  std::string_view name_;
  array::iterator it_, end_;
};

DialOutcome parse_verdict(std::uint64_t code) {
  constexpr std::array outcomes{DialOutcome::completed,      DialOutcome::error_reply,
                                DialOutcome::rejected,       DialOutcome::timed_out,
                                DialOutcome::connect_failed, DialOutcome::connection_lost,
                                DialOutcome::cancelled,      DialOutcome::not_sent};
  if (code >= outcomes.size()) throw_invalid_input("unknown verdict " + std::to_string(code));
  return outcomes[code];
}

HostStatus parse_condition(std::string_view name) {
  if (name == "IN") return HostStatus::active;
  if (name == "LAME") return HostStatus::draining;
  if (name == "OUT") return HostStatus::removed;
  throw_invalid_input("DIRECTORY: unknown condition '" + std::string(name) + "'");
}

struct HostEntry {
  std::string address;
  std::uint64_t zone, cell;
  HostStatus status;
  double share;
  Micros started;
};

// Writes the reply to one batch: the messages of all instances, as JSON.
class ReplyWriter {
 public:
  void clear() {
    text_ = "{\"output\":[";
    first_ = true;
  }
  std::string_view finish() { return text_ += "]}"; }
  // Starts a message; end() ends it.
  ReplyWriter& message(std::string_view name, std::uint64_t instance) {
    text_ += first_ ? "[\"" : ",[\"";
    first_ = false;
    text_ += name;
    text_ += '"';
    return number(static_cast<std::int64_t>(instance));
  }
  ReplyWriter& number(std::int64_t n) {
    std::array<char, 24> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n).ptr;
    text_ += ',';
    text_.append(digits.data(), end);
    return *this;
  }
  // Control characters are replaced by blanks.
  ReplyWriter& text(std::string_view t) {
    text_ += ",\"";
    for (const char c : t) {
      if (c == '"' || c == '\\') text_ += '\\';
      text_ += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    text_ += '"';
    return *this;
  }
  ReplyWriter& literal(std::string_view json) {
    text_ += ',';
    text_ += json;
    return *this;
  }
  void end() { text_ += ']'; }

 private:
  std::string text_;
  bool first_ = true;
};

// One balancer instance of the simulator, with its open sessions and the addresses of the hosts that its
// lists have named. Writes the balancer's actions to the reply.
class Instance final : public BalancerDelegate {
 public:
  Instance(ReplyWriter& reply, std::uint64_t id, std::uint64_t seed, element env) : reply_(reply), id_(id) {
    const setup::JsonObject settings(env, "CONFIGURE: env");
    listener_count_ = setup::read_names(settings, "listeners").size();
    fields_ = setup::read_report_fields(settings);
    balancer_ = setup::create_balancer(settings, *this, seed);
  }

  void set_time(Micros now) { balancer_->set_time(now); }

  void on_job_in(MessageReader& message) {
    const SessId id{message.number("rid")};
    SessionRequest request = read_listener(message);
    request.tenant.value = static_cast<std::uint32_t>(message.number_or(0, "billing"));
    if (const auto key = message.optional_number("nameKey")) request.client = ClientKey{*key};
    request.deadline = message.time("validUntil");
    const auto size_hint = message.optional_number("sizeHint");
    if (const auto group = message.optional_number("channel")) request.group = GroupId{*group};
    set_flags(request, message.number_or(0, "bitmap"), size_hint);
    store_session(id, balancer_->start_session(id, request));
  }

  void on_inherited(MessageReader& message) {
    const SessId id{message.number("rid")};
    std::optional<ClientKey> client;
    if (const auto key = message.optional_number("nameKey")) client = ClientKey{*key};
    const auto size_hint = message.optional_number("sizeHint");
    const Micros deadline{static_cast<std::int64_t>(message.number_or(0, "validUntil"))};
    const std::uint64_t bits = message.number_or(0, "bitmap");
    const auto group = message.optional_number("channel");
    const std::uint64_t tenant = message.number_or(0, "billing");
    SessionRequest request = read_listener(message);
    request.client = client;
    request.deadline = deadline;
    if (group) request.group = GroupId{*group};
    request.tenant.value = static_cast<std::uint32_t>(tenant);
    set_flags(request, bits, size_hint);
    store_session(id, balancer_->adopt_session(id, request, add_host(message.text("host"))));
  }

  void on_flowing(MessageReader& message) {
    const SessId id{message.number("rid")};
    message.text("host");
    const DialNo dial{static_cast<std::uint32_t>(message.number("shot"))};
    with_session(id, [&](SessionHandle& session) { session.dial_accepted(dial); });
  }

  void on_progress(MessageReader& message) {
    const SessId id{message.number("rid")};
    message.number("shot");
    message.text("host");
    const std::uint64_t what = message.number("what");
    const double amount = message.real("amount");
    if (what == kLoadProgress) with_session(id, [&](SessionHandle& session) { session.set_load(amount); });
    if (what == kMessageDelayProgress)
      with_session(id, [&](SessionHandle& session) {
        session.set_message_delay(Micros{std::llround(amount * kMicrosPerMilli)});
      });
  }

  void on_settled(MessageReader& message) {
    const SessId id{message.number("rid")};
    const DialNo dial{static_cast<std::uint32_t>(message.number("shot"))};
    const bool session_over = message.boolean("doneFlag");
    message.number("latency");
    const DialOutcome outcome = parse_verdict(message.number("verdict"));
    with_session(id, [&](SessionHandle& session) { session.dial_ended(dial, outcome, session_over); });
  }

  void on_gone(MessageReader& message) {
    with_session(SessId{message.number("rid")}, [](SessionHandle& session) { session.client_left(); });
  }

  void on_probe_done(MessageReader& message) {
    const Micros latency = message.time("latency");
    const std::string_view host = message.text("host");
    const DialOutcome outcome = parse_verdict(message.number("verdict"));
    LoadReport report;
    if (const auto values = message.next()) {
      array row;
      if (values->get(row)) message.throw_type_error("report", "a list");
      MessageReader report_values(row, "a load report", 0);
      for (const std::string& field : fields_) {
        const auto number = report_values.next();
        if (!number) continue;
        double value;
        if (number->get(value)) report_values.throw_type_error(field, "a number");
        setup::set_report_field(report, field, value);
      }
    }
    balancer_->probe_ended(add_host(host), outcome, latency, report);
  }

  void on_tick_due(MessageReader& message) {
    const std::string_view token = message.text("name");
    std::uint64_t timer = 0;
    const auto end = std::from_chars(token.data(), token.data() + token.size(), timer);
    if (end.ec != std::errc{} || end.ptr != token.data() + token.size()) return;
    balancer_->timer_expired(TimerId{timer});
  }

  void on_update(const std::vector<HostEntry>* list, std::string_view mode) {
    if (mode == "broken") return balancer_->list_failed();
    if (!list) throw_invalid_input("UPDATE: names a table that no DIRECTORY has filled");
    balancer_->begin_list(mode != "patch");
    for (const HostEntry& host : *list) {
      balancer_->list_host(add_host(host.address), ZoneId{static_cast<std::uint32_t>(host.zone)},
                           CellId{static_cast<std::uint32_t>(host.cell)}, host.status, host.share,
                           host.started);
    }
    balancer_->end_list();
  }

  void dial(SessId session, HostId host, Micros limit) override {
    reply_.message("ROUTE", id_)
        .number(rid(session))
        .text(addresses_.at(host.value))
        .number(limit.count())
        .end();
  }
  void refuse(SessId session, Micros retry_after, RefusalReason) override {
    reply_.message("NOT_NOW", id_).number(rid(session)).number(retry_after.count()).end();
  }
  void tear_down(SessId session, RefusalReason) override {
    reply_.message("ABORT", id_).number(rid(session)).end();
  }
  void move(SessId session) override { reply_.message("SHIFT", id_).number(rid(session)).end(); }
  void probe(HostId host) override { reply_.message("ASK_LOAD", id_).text(addresses_.at(host.value)).end(); }
  void set_timer(Micros delay, TimerId timer) override {
    reply_.message("TIMER", id_).number(delay.count()).text(std::to_string(timer.value)).end();
  }
  void watch_list() override { reply_.message("OBSERVE", id_).literal("true").end(); }
  // Addresses are kept: an instance may dial any host that one of its lists has named.
  void forget_host(HostId) override {}
  void log(std::string_view line) override { reply_.message("LOG", id_).text(line).end(); }
  void log(std::string_view line, HostId host) override {
    log(std::string(line) + ": " + addresses_.at(host.value));
  }

 private:
  static std::int64_t rid(SessId session) { return static_cast<std::int64_t>(session.value); }

  // Stores the address of a host, and returns the id.
  HostId add_host(std::string_view address) {
    const HostId id = host_id(address);
    addresses_.try_emplace(id.value, address);
    return id;
  }

  SessionRequest read_listener(MessageReader& message) {
    SessionRequest request{};
    const std::uint64_t service = message.number("service");
    if (service >= listener_count_) message.throw_type_error("service", "one of the listeners");
    request.listener.value = static_cast<std::uint32_t>(service);
    return request;
  }

  static void set_flags(SessionRequest& request, std::uint64_t bits, std::optional<std::uint64_t> size_hint) {
    if (bits & kHasSizeHint && size_hint) request.expected_load = static_cast<double>(*size_hint);
    request.is_retry = bits & kIsRetry;
    request.is_reconnect = bits & kIsReconnect;
  }

  void store_session(SessId id, SessionHandle session) {
    if (session.live()) sessions_.insert_or_assign(id.value, session);
  }

  // Calls call(session) if the session is still open. A batch may name a session that ended after the batch
  // was made.
  template <class Call>
  void with_session(SessId id, Call call) {
    const auto it = sessions_.find(id.value);
    if (it == sessions_.end()) return;
    call(it->second);
    if (!it->second.live()) sessions_.erase(it);
  }

  ReplyWriter& reply_;
  std::uint64_t id_;
  std::size_t listener_count_ = 0;
  std::vector<std::string> fields_;
  std::unordered_map<std::uint64_t, std::string> addresses_;
  std::unordered_map<std::uint64_t, SessionHandle> sessions_;
  std::unique_ptr<Balancer> balancer_;
};

}  // namespace

struct WireAdapter::Impl {
  simdjson::dom::parser parser;
  ReplyWriter reply;
  std::array<std::optional<std::vector<HostEntry>>, kTableCount> tables;  // host lists of DIRECTORY
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances;
  Micros now{0};

  void event(element item) {
    array values;
    if (item.get(values)) throw_invalid_input("an item of a batch is not a list");
    std::string_view name;
    if (values.size() == 0 || values.at(0).get(name))
      throw_invalid_input("an item of a batch does not start with its name");
    MessageReader message(values, name, 1);
    if (name == "DIRECTORY") return directory(message);
    const std::uint64_t id = message.number("who");
    if (name == "CONFIGURE") {
      const std::uint64_t seed = message.number("prng");
      instances[id] = std::make_unique<Instance>(reply, id, seed, message.required("env"));
      return;
    }
    if (name == "DESTROY") {
      instances.erase(id);
      return;
    }
    const auto it = instances.find(id);
    if (it == instances.end())
      throw_invalid_input(std::string(name) + ": instance " + std::to_string(id) + " was never configured");
    Instance& instance = *it->second;
    instance.set_time(now);
    if (name == "JOB_IN")
      instance.on_job_in(message);
    else if (name == "SETTLED")
      instance.on_settled(message);
    else if (name == "FLOWING")
      instance.on_flowing(message);
    else if (name == "PROGRESS")
      instance.on_progress(message);
    else if (name == "PROBE_DONE")
      instance.on_probe_done(message);
    else if (name == "TICK_DUE")
      instance.on_tick_due(message);
    else if (name == "UPDATE")
      update(instance, message);
    else if (name == "GONE")
      instance.on_gone(message);
    else if (name == "INHERITED")
      instance.on_inherited(message);
    else if (name != "DATAGRAM")
      throw_invalid_input("unknown event '" + std::string(name) + "'");
  }

  std::optional<std::vector<HostEntry>>& table(MessageReader& message) {
    const std::uint64_t number = message.number("table");
    if (number >= tables.size()) message.throw_type_error("table", "a number from 0 to 15");
    return tables[number];
  }

  void directory(MessageReader& message) {
    auto& list = table(message).emplace();
    for (const element e : message.list("nodesList")) {
      array values;
      if (e.get(values)) message.throw_type_error("an entry", "a list");
      MessageReader fields(values, "DIRECTORY", 0);
      HostEntry entry;
      entry.address = fields.text("host");
      entry.zone = fields.number_or(0, "campus");
      fields.number_or(0, "hw");
      entry.cell = fields.number_or(0, "group");
      entry.status = parse_condition(fields.text("condition"));
      const auto share = fields.next();
      if (!share || share->get(entry.share)) entry.share = 1;
      entry.started = Micros{static_cast<std::int64_t>(fields.number_or(0, "launched"))};
      list.push_back(std::move(entry));
    }
  }

  void update(Instance& instance, MessageReader& message) {
    message.number_or(0, "epoch");
    const std::uint64_t number = message.number_or(0, "table");
    const std::string_view mode = message.text("mode");
    if (mode != "patch" && mode != "whole" && mode != "stale_copy" && mode != "broken") {
      throw_invalid_input("UPDATE: unknown mode '" + std::string(mode) + "'");
    }
    const bool filled = mode != "broken" && number < tables.size() && tables[number];
    instance.on_update(filled ? &*tables[number] : nullptr, mode);
  }
};

WireAdapter::WireAdapter() : impl_(std::make_unique<Impl>()) {}
WireAdapter::~WireAdapter() = default;

std::string_view WireAdapter::process(std::string_view batch) {
  element line;
  if (const auto error = impl_->parser.parse(batch.data(), batch.size()).get(line)) {
    throw_invalid_input(std::string("a batch is not JSON: ") + simdjson::error_message(error));
  }
  std::int64_t clock;
  if (line["t"].get(clock)) throw_invalid_input("a batch has no whole number 't' for its clock");
  impl_->now = Micros{clock};
  array items;
  if (line["items"].get(items)) throw_invalid_input("a batch has no list 'items'");
  impl_->reply.clear();
  for (const element e : items) impl_->event(e);
  return impl_->reply.finish();
}

}  // namespace flintweir::benchlink
