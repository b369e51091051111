// Typed access to the members of a JSON object, with a default for members that are absent.
#pragma once

#include <simdjson.h>

#include <cmath>
#include <stdexcept>
#include <string>
#include <string_view>

#include "ids.h"

namespace flintweir::setup {

// Configuration or input that is malformed or not allowed; what() says where and why.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};
[[noreturn]] inline void throw_invalid_input(std::string what) { throw InvalidInput(std::move(what)); }

// A view into a parsed document, which has to outlive it. A method with a default returns it also where the
// member has another type, unless the method says that it throws.
class JsonObject {
 public:
  // `path` names the object in error messages. Throws InvalidInput if `e` is not an object.
  JsonObject(simdjson::dom::element e, std::string path) : path_(std::move(path)) {
    if (e.get(object_)) throw_invalid_input(path_ + " is not an object");
  }
  // The object at `key` of another one. Throws InvalidInput if there is none.
  JsonObject(const JsonObject& outer, std::string_view key) : path_(outer.path_ + '.' + std::string(key)) {
    if (outer.object_[key].get(object_)) throw_invalid_input(path_ + " is not an object");
  }
  double real(std::string_view key, double fallback) const {
    double out;
    return object_[key].get(out) ? fallback : out;
  }
  // Fractions are cut off; a number that is negative or out of range counts as absent.
  std::uint64_t number(std::string_view key, std::uint64_t fallback) const {
    const double out = real(key, static_cast<double>(fallback));
    return std::isfinite(out) && out >= 0 && out < 9e18 ? static_cast<std::uint64_t>(out) : fallback;
  }
  // A number of microseconds.
  Micros time(std::string_view key, Micros fallback = Micros{0}) const {
    return Micros{std::llround(real(key, static_cast<double>(fallback.count())))};
  }
  std::string_view text(std::string_view key, std::string_view fallback) const {
    std::string_view out;
    return object_[key].get(out) ? fallback : out;
  }
  // False if absent.
  bool flag(std::string_view key) const {
    bool out;
    return !object_[key].get(out) && out;
  }
  // Throws InvalidInput if the member is neither true nor false.
  bool bool_or(std::string_view key, bool fallback) const {
    bool out = fallback;
    if (has(key) && object_[key].get(out))
      throw_invalid_input(path_ + '.' + std::string(key) + " is not true or false");
    return out;
  }
  // Zero if absent. Throws InvalidInput if the member is not a finite number of zero or more.
  double non_negative(std::string_view key) const {
    double out = 0;
    if (has(key) && (object_[key].get(out) || !std::isfinite(out) || out < 0))
      throw_invalid_input(path_ + '.' + std::string(key) + " is not a number of zero or more");
    return out;
  }
  // Throws InvalidInput if the member is not an array.
  simdjson::dom::array array(std::string_view key) const {
    simdjson::dom::array out;
    if (object_[key].get(out)) throw_invalid_input(path_ + '.' + std::string(key) + " is not a list");
    return out;
  }
  // False also where the member is null.
  bool has(std::string_view key) const {
    simdjson::dom::element out;
    return !object_[key].get(out) && !out.is_null();
  }
  // Throws InvalidInput if the member is absent.
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
