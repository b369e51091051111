#include "setup/deployment.h"

#include <charconv>

#include "setup/config_change.h"

namespace flintweir::setup {
namespace {

constexpr double kMaxMicros = 1e15;  // longer times are invalid

Effect parse_effect(std::string_view name) {
  if (name == "repeatable") return Effect::repeatable;
  if (name == "by_key") return Effect::referenced;
  if (name == "once") return Effect::once_only;
  throw_invalid_input("settings: unknown effect '" + std::string(name) + "'");
}

DedupScope parse_dedup_scope(std::string_view name) {
  if (name == "all") return DedupScope::all;
  if (name == "zone") return DedupScope::zone;
  if (name == "cell") return DedupScope::cell;
  throw_invalid_input("settings: unknown group '" + std::string(name) + "'");
}

// One for each listener, zero for none. May be shorter than the list of listeners, whose rest have none.
std::vector<Micros> read_message_targets(const JsonObject& settings) {
  std::vector<Micros> out;
  if (!settings.has("familyInfo")) return out;
  const JsonObject family(settings, "familyInfo");
  if (!family.has("messageAim")) return out;
  for (const simdjson::dom::element e : family.array("messageAim")) {
    double micros;
    out.push_back(!e.get(micros) && micros > 0 && micros < kMaxMicros ? Micros{std::llround(micros)}
                                                                      : Micros{0});
  }
  return out;
}

// Validates the weights of the availability goal, which no decision uses. A part without weight needs no
// number of nines.
void check_goal(const JsonObject& settings) {
  if (!settings.has("goal")) return;
  const JsonObject goal(settings, "goal");
  const double part = goal.non_negative("ninesPart"), wanted = goal.non_negative("ninesWanted");
  if (part > 0 && wanted <= 0) throw_invalid_input("settings.goal.ninesWanted is missing or not above zero");
}

// The budget of dials beyond the first of each session: all three keys are set, or none of them for no limit.
std::optional<RetryBudgetLimits> read_retry_budget(const JsonObject& rules) {
  const bool has_floor = rules.has("extraFloor"), has_share = rules.has("extraPerRequest"),
             has_span = rules.has("budgetSpan");
  if (!has_floor && !has_share && !has_span) return std::nullopt;
  if (!has_floor || !has_share || !has_span)
    throw_invalid_input("settings.rules: extraFloor, extraPerRequest and budgetSpan have to be set together");
  const double micros = rules.non_negative("budgetSpan");
  if (micros < 1 || micros > kMaxMicros)
    throw_invalid_input("settings.rules.budgetSpan is not a time above zero");
  return RetryBudgetLimits{rules.non_negative("extraFloor"), rules.non_negative("extraPerRequest"),
                           Micros{std::llround(micros)}};
}

}  // namespace

std::vector<Listener> read_listeners(const JsonObject& settings) {
  std::vector<Listener> out;
  const std::vector<Micros> message_targets = read_message_targets(settings);
  for (const simdjson::dom::element e : settings.array("listeners")) {
    const JsonObject listener(e, "settings: a listener");
    out.push_back({listener.time("handshakeTarget"), listener.time("dialTimeout"),
                   parse_effect(listener.text("effect", "once")),
                   parse_dedup_scope(listener.text("group", "cell")), listener.time("dedupWindow"),
                   listener.real("utility", 1),
                   out.size() < message_targets.size() ? message_targets[out.size()] : Micros{0}});
  }
  return out;
}

RuntimeSettings read_runtime_settings(const JsonObject& settings) {
  const JsonObject ceilings(settings, "ceilings"), rules(settings, "rules"), prices(settings, "prices");
  return {read_listeners(settings),
          DialLimits{static_cast<unsigned>(ceilings.real("maxDials", 1)), read_max_retry_after(settings),
                     read_retry_budget(rules)},
          Prices{prices.real("crossZone", 0),
                 ceilings.flag("probes") ? std::optional(prices.real("probe", 0)) : std::nullopt}};
}

std::unique_ptr<Balancer> create_balancer(const JsonObject& settings, BalancerDelegate& delegate,
                                          std::uint64_t seed) {
  const JsonObject rules(settings, "rules");
  check_goal(settings);
  RuntimeSettings running = read_runtime_settings(settings);
  return make_balancer(
      delegate, seed, static_cast<unsigned>(settings.real("balancers", 1)),
      ZoneId{static_cast<std::uint32_t>(settings.real("myZone", 0))}, std::move(running.listeners),
      running.dials,
      ColdStartLimits{rules.time("cold"), rules.real("coldShare", 1), rules.real("overloadFactor", 1),
                      rules.time("tipAfter")},
      ListPolicy{settings.text("discovery", "") == "on_request", rules.time("askEvery"),
                 settings.text("weightSource", "") != "live", rules.bool_or("softRemoval", false)},
      running.prices);
}

std::vector<std::string> read_names(const JsonObject& settings, std::string_view list) {
  std::vector<std::string> out;
  for (const simdjson::dom::element e : settings.array(list)) {
    std::string_view name;
    if (e.get(name)) name = JsonObject(e, "settings." + std::string(list)).text("name", "");
    out.emplace_back(name);
  }
  return out;
}

std::vector<std::string> read_report_fields(const JsonObject& settings) {
  const JsonObject reporting(settings, "reporting");
  for (const simdjson::dom::element e : reporting.array("fields")) {
    if (!e.is_string()) throw_invalid_input("settings: a report field is not a string");
  }
  return read_names(reporting, "fields");
}

void set_report_field(LoadReport& report, std::string_view name, double value) {
  if (name == "x0") report.load = value;
  if (name == "x1") report.backlog = value;
  if (name == "util") report.cpu_usage = value;
  if (name == "queue") report.queued_sessions = value;
}

std::uint64_t hash_name(std::string_view name) {
  std::uint64_t hash = 14695981039346656037ull;  // FNV-1a
  for (const unsigned char c : name) hash = (hash ^ c) * 1099511628211ull;
  return hash;
}

std::uint64_t parse_key(std::string_view text) {
  std::uint64_t key;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return ec == std::errc{} && end == text.data() + text.size() ? key : hash_name(text);
}

Micros read_max_retry_after(const JsonObject& settings) {
  const JsonObject ceilings(settings, "ceilings");
  return ceilings.flag("retryAfter") ? ceilings.time("maxRetryAfter") : Micros{0};
}

}  // namespace flintweir::setup
