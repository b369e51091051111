// Named values out of a JSON object, with a stand-in where a key is absent.
#pragma once

#include <simdjson.h>

#include <cmath>
#include <stdexcept>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::setup {

struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};
[[noreturn]] inline void bad(std::string what) { throw BadInput(std::move(what)); }

class Values {
 public:
  // `path` names the object in complaints.
  Values(simdjson::dom::element e, std::string path) : path_(std::move(path)) {
    if (e.get(object_)) bad(path_ + " is not an object");
  }
  Values(const Values& outer, std::string_view key) : path_(outer.path_ + '.' + std::string(key)) {
    if (outer.object_[key].get(object_)) bad(path_ + " is not an object");
  }
  double real(std::string_view key, double other) const {
    double out;
    return object_[key].get(out) ? other : out;
  }
  std::uint64_t number(std::string_view key, std::uint64_t other) const {
    const double out = real(key, static_cast<double>(other));
    return std::isfinite(out) && out >= 0 && out < 9e18 ? static_cast<std::uint64_t>(out) : other;
  }
  Micros time(std::string_view key, Micros other = Micros{0}) const {
    return Micros{std::llround(real(key, static_cast<double>(other.count())))};
  }
  std::string_view text(std::string_view key, std::string_view other) const {
    std::string_view out;
    return object_[key].get(out) ? other : out;
  }
  bool yes(std::string_view key) const {
    bool out;
    return !object_[key].get(out) && out;
  }
  // Like yes(), but anything else than true or false is refused.
  bool yes_or_no(std::string_view key, bool other) const {
    bool out = other;
    if (has(key) && object_[key].get(out)) bad(path_ + '.' + std::string(key) + " is not true or false");
    return out;
  }
  double positive_or_zero(std::string_view key) const {
    double out = 0;
    if (has(key) && (object_[key].get(out) || !std::isfinite(out) || out < 0))
      bad(path_ + '.' + std::string(key) + " is not a number of zero or more");
    return out;
  }
  simdjson::dom::array row(std::string_view key) const {
    simdjson::dom::array out;
    if (object_[key].get(out)) bad(path_ + '.' + std::string(key) + " is not a list");
    return out;
  }
  bool has(std::string_view key) const {
    simdjson::dom::element out;
    return !object_[key].get(out) && !out.is_null();
  }
  simdjson::dom::element need(std::string_view key) const {
    simdjson::dom::element out;
    if (object_[key].get(out)) bad(path_ + '.' + std::string(key) + " is missing");
    return out;
  }

 private:
  std::string path_;
  simdjson::dom::object object_{};
};

}  // namespace flintweir::setup
