// Named values out of a JSON object, with a stand-in where a key is absent.
#pragma once

#include <simdjson.h>

#include <cmath>
#include <stdexcept>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::setup {

struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};
[[noreturn]] inline void throw_invalid_input(std::string what) { throw InvalidInput(std::move(what)); }

class JsonObject {
 public:
  // `path` names the object in complaints.
  JsonObject(simdjson::dom::element e, std::string path) : path_(std::move(path)) {
    if (e.get(object_)) throw_invalid_input(path_ + " is not an object");
  }
  JsonObject(const JsonObject& outer, std::string_view key) : path_(outer.path_ + '.' + std::string(key)) {
    if (outer.object_[key].get(object_)) throw_invalid_input(path_ + " is not an object");
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
  bool flag(std::string_view key) const {
    bool out;
    return !object_[key].get(out) && out;
  }
  // Like flag(), but anything else than true or false is refused.
  bool bool_or(std::string_view key, bool other) const {
    bool out = other;
    if (has(key) && object_[key].get(out))
      throw_invalid_input(path_ + '.' + std::string(key) + " is not true or false");
    return out;
  }
  double non_negative(std::string_view key) const {
    double out = 0;
    if (has(key) && (object_[key].get(out) || !std::isfinite(out) || out < 0))
      throw_invalid_input(path_ + '.' + std::string(key) + " is not a number of zero or more");
    return out;
  }
  simdjson::dom::array array(std::string_view key) const {
    simdjson::dom::array out;
    if (object_[key].get(out)) throw_invalid_input(path_ + '.' + std::string(key) + " is not a list");
    return out;
  }
  bool has(std::string_view key) const {
    simdjson::dom::element out;
    return !object_[key].get(out) && !out.is_null();
  }
  simdjson::dom::element required(std::string_view key) const {
    simdjson::dom::element out;
    if (object_[key].get(out)) throw_invalid_input(path_ + '.' + std::string(key) + " is missing");
    return out;
  }

 private:
  std::string path_;
  simdjson::dom::object object_{};
};

}  // namespace flintweir::setup
