#include "members/asker.h"

#include <cstdio>

namespace flintweir::members {

std::string Asker::question() {
  ++nonce_;
  Writer writer(Kind::query, "", {}, Nonce{nonce_});
  return std::string(writer.query(rows_.empty() ? "" : rows_.back().name).done());
}

bool Asker::received(std::string_view bytes) {
  page_.clear();
  return decode(bytes, "", *this) == Wrong::none && whole_;
}

void Asker::word_came(const From&, const Word& w) {
  page_.push_back({std::string(w.name), w.start, w.word, w.standing, w.address, std::string(w.zone),
                   std::string(w.version), std::string(w.by)});
}

void Asker::age_came(Micros age) { page_.back().age = age; }

void Asker::page_came(const From& from, Nonce nonce, bool last) {
  if (nonce.value != nonce_ || whole_) return;
  ++nonce_;  // a second answer to the same question is none
  if (!rows_.empty() && from.digest != digest_ && restarts_++ < kRestarts) return rows_.clear();
  at_ = from.name;
  start_ = from.start;
  digest_ = from.digest;
  rows_.insert(rows_.end(), page_.begin(), page_.end());
  whole_ = last;
}

std::string to_json(const Asker& view) {
  char line[768];
  std::snprintf(line, sizeof line, "{\"at\":\"%s\",\"view\":\"%016llx\",\"members\":[", view.at().c_str(),
                static_cast<unsigned long long>(view.digest()));
  std::string out = line;
  for (const Asker::Row& r : view.rows()) {
    std::snprintf(line, sizeof line,
                  "%s{\"name\":\"%s\",\"start\":%llu,\"word\":%u,\"address\":\"%s\",\"zone\":\"%s\","
                  "\"version\":\"%s\",\"standing\":\"%s\",\"since_ms\":%lld,\"by\":\"%s\"}",
                  &r == &view.rows().front() ? "" : ",", r.name.c_str(),
                  static_cast<unsigned long long>(r.start.value), r.word, to_text(r.address).c_str(),
                  r.zone.c_str(), r.version.c_str(), name_of(r.standing),
                  static_cast<long long>(r.age.count() / 1000), r.by.c_str());
    out += line;
  }
  return out + "]}\n";
}

std::string to_table(const Asker& view) {
  char line[512];
  std::snprintf(line, sizeof line, "at %s, view %016llx\n%-20s %-10s %9s %-21s %-12s %-10s %s\n",
                view.at().c_str(), static_cast<unsigned long long>(view.digest()), "NAME", "STANDING",
                "SINCE", "ADDRESS", "ZONE", "VERSION", "BY");
  std::string out = line;
  for (const Asker::Row& r : view.rows()) {
    std::snprintf(line, sizeof line, "%-20s %-10s %8.1fs %-21s %-12s %-10s %s\n", r.name.c_str(),
                  name_of(r.standing), static_cast<double>(r.age.count()) / 1e6, to_text(r.address).c_str(),
                  r.zone.empty() ? "-" : r.zone.c_str(), r.version.c_str(), r.by.c_str());
    out += line;
  }
  return out;
}

}  // namespace flintweir::members
