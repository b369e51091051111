#include "setup/deployment.h"

#include <charconv>

#include "setup/change_text.h"

namespace flintweir::setup {
namespace {

Effect effect_named(std::string_view name) {
  if (name == "repeatable") return Effect::repeatable;
  if (name == "by_key") return Effect::referenced;
  if (name == "once") return Effect::once_only;
  bad("settings: unknown effect '" + std::string(name) + "'");
}

DedupScope reach_named(std::string_view name) {
  if (name == "all") return DedupScope::all;
  if (name == "zone") return DedupScope::zone;
  if (name == "cell") return DedupScope::cell;
  bad("settings: unknown group '" + std::string(name) + "'");
}

// By listener; those that the settings don't name have none.
std::vector<Micros> message_targets(const Values& settings) {
  std::vector<Micros> out;
  if (!settings.has("familyInfo")) return out;
  const Values family(settings, "familyInfo");
  if (!family.has("messageAim")) return out;
  for (const simdjson::dom::element e : family.row("messageAim")) {
    double aim;
    out.push_back(!e.get(aim) && aim > 0 && aim < 1e15 ? Micros{std::llround(aim)} : Micros{0});
  }
  return out;
}

// The weights of the result. No decision follows from them; a part that asks for no nines says nothing.
void check_goal(const Values& settings) {
  if (!settings.has("goal")) return;
  const Values goal(settings, "goal");
  const double part = goal.positive_or_zero("ninesPart"), wanted = goal.positive_or_zero("ninesWanted");
  if (part > 0 && wanted <= 0) bad("settings.goal.ninesWanted is missing or not above zero");
}

// Further dials are rationed where all three say so, and nowhere else.
std::optional<RetryBudgetLimits> further_dials(const Values& rules) {
  const bool floor = rules.has("extraFloor"), share = rules.has("extraPerRequest"),
             span = rules.has("budgetSpan");
  if (!floor && !share && !span) return std::nullopt;
  if (!floor || !share || !span)
    bad("settings.rules: extraFloor, extraPerRequest and budgetSpan come together");
  const double micros = rules.positive_or_zero("budgetSpan");
  if (micros < 1 || micros > 1e15) bad("settings.rules.budgetSpan is not a time above zero");
  return RetryBudgetLimits{rules.positive_or_zero("extraFloor"), rules.positive_or_zero("extraPerRequest"),
                           Micros{std::llround(micros)}};
}

}  // namespace

std::vector<Listener> listeners(const Values& settings) {
  std::vector<Listener> out;
  const std::vector<Micros> messages = message_targets(settings);
  for (const simdjson::dom::element e : settings.row("listeners")) {
    const Values l(e, "settings: a listener");
    out.push_back({l.time("handshakeTarget"), l.time("dialTimeout"), effect_named(l.text("effect", "once")),
                   reach_named(l.text("group", "cell")), l.time("dedupWindow"), l.real("utility", 1),
                   out.size() < messages.size() ? messages[out.size()] : Micros{0}});
  }
  return out;
}

Running running_of(const Values& settings) {
  const Values ceilings(settings, "ceilings"), rules(settings, "rules"), prices(settings, "prices");
  return {listeners(settings),
          DialLimits{static_cast<unsigned>(ceilings.real("maxDials", 1)), longest_stay_away(settings),
                     further_dials(rules)},
          Prices{prices.real("crossZone", 0),
                 ceilings.yes("probes") ? std::optional(prices.real("probe", 0)) : std::nullopt}};
}

std::unique_ptr<Balancer> balancer_for(const Values& settings, BalancerActions& outlet, std::uint64_t seed) {
  const Values rules(settings, "rules");
  check_goal(settings);
  Running running = running_of(settings);
  return make_balancer(
      outlet, seed, static_cast<unsigned>(settings.real("balancers", 1)),
      ZoneId{static_cast<std::uint32_t>(settings.real("myZone", 0))}, std::move(running.listeners),
      running.dials,
      ColdStartLimits{rules.time("cold"), rules.real("coldShare", 1), rules.real("overloadFactor", 1),
                      rules.time("tipAfter")},
      ListPolicy{settings.text("discovery", "") == "on_request", rules.time("askEvery"),
                 settings.text("weightSource", "") != "live", rules.yes_or_no("softRemoval", false)},
      running.prices);
}

std::vector<std::string> names(const Values& settings, std::string_view list) {
  std::vector<std::string> out;
  for (const simdjson::dom::element e : settings.row(list)) {
    std::string_view name;
    if (e.get(name)) name = Values(e, "settings." + std::string(list)).text("name", "");
    out.emplace_back(name);
  }
  return out;
}

std::vector<std::string> report_fields(const Values& settings) {
  const Values reporting(settings, "reporting");
  for (const simdjson::dom::element e : reporting.row("fields")) {
    if (!e.is_string()) bad("settings: a report field is not a text");
  }
  return names(reporting, "fields");
}

void set_field(LoadReport& report, std::string_view name, double value) {
  if (name == "x0") report.load = value;
  if (name == "x1") report.backlog = value;
  if (name == "util") report.cpu_usage = value;
  if (name == "queue") report.queued_sessions = value;
}

std::uint64_t id_of(std::string_view name) {
  std::uint64_t h = 14695981039346656037ull;  // FNV-1a
  for (const unsigned char c : name) h = (h ^ c) * 1099511628211ull;
  return h;
}

std::uint64_t key_of(std::string_view text) {
  std::uint64_t key;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return ec == std::errc{} && end == text.data() + text.size() ? key : id_of(text);
}

Micros longest_stay_away(const Values& settings) {
  const Values ceilings(settings, "ceilings");
  return ceilings.yes("retryAfter") ? ceilings.time("maxRetryAfter") : Micros{0};
}

}  // namespace flintweir::setup
