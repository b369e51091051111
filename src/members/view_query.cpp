#include "members/view_query.h"

#include <cstdio>

namespace flintweir::members {

std::string ViewQuery::next_request() {
  ++nonce_;
  DatagramWriter writer(MessageKind::view_query, "", {}, Nonce{nonce_});
  return std::string(writer.view_query(rows_.empty() ? "" : rows_.back().name).finish());
}

bool ViewQuery::received(std::string_view bytes) {
  page_.clear();
  return decode(bytes, "", *this) == DecodeError::none && whole_;
}

void ViewQuery::on_update(const Sender&, const MemberUpdate& w) {
  page_.push_back({std::string(w.name), w.generation, w.incarnation, w.state, w.address, std::string(w.zone),
                   std::string(w.version), std::string(w.reported_by)});
}

void ViewQuery::on_update_age(Micros state_age) { page_.back().state_age = state_age; }

void ViewQuery::on_view_page(const Sender& from, Nonce nonce, bool last) {
  if (nonce.value != nonce_ || whole_) return;
  ++nonce_;  // a second answer to the same question is none
  if (!rows_.empty() && from.digest != digest_ && restarts_++ < kRestarts) return rows_.clear();
  at_ = from.name;
  start_ = from.generation;
  digest_ = from.digest;
  rows_.insert(rows_.end(), page_.begin(), page_.end());
  whole_ = last;
}

std::string to_json(const ViewQuery& view) {
  char line[768];
  std::snprintf(line, sizeof line, "{\"at\":\"%s\",\"view\":\"%016llx\",\"members\":[",
                view.responder().c_str(), static_cast<unsigned long long>(view.digest()));
  std::string out = line;
  for (const ViewQuery::Row& r : view.rows()) {
    std::snprintf(line, sizeof line,
                  "%s{\"name\":\"%s\",\"start\":%llu,\"word\":%u,\"address\":\"%s\",\"zone\":\"%s\","
                  "\"version\":\"%s\",\"standing\":\"%s\",\"since_ms\":%lld,\"by\":\"%s\"}",
                  &r == &view.rows().front() ? "" : ",", r.name.c_str(),
                  static_cast<unsigned long long>(r.generation.value), r.incarnation,
                  to_text(r.address).c_str(), r.zone.c_str(), r.version.c_str(), name_of(r.state),
                  static_cast<long long>(r.state_age.count() / 1000), r.reported_by.c_str());
    out += line;
  }
  return out + "]}\n";
}

std::string to_table(const ViewQuery& view) {
  char line[512];
  std::snprintf(line, sizeof line, "at %s, view %016llx\n%-20s %-10s %9s %-21s %-12s %-10s %s\n",
                view.responder().c_str(), static_cast<unsigned long long>(view.digest()), "NAME", "STANDING",
                "SINCE", "ADDRESS", "ZONE", "VERSION", "BY");
  std::string out = line;
  for (const ViewQuery::Row& r : view.rows()) {
    std::snprintf(line, sizeof line, "%-20s %-10s %8.1fs %-21s %-12s %-10s %s\n", r.name.c_str(),
                  name_of(r.state), static_cast<double>(r.state_age.count()) / 1e6,
                  to_text(r.address).c_str(), r.zone.empty() ? "-" : r.zone.c_str(), r.version.c_str(),
                  r.reported_by.c_str());
    out += line;
  }
  return out;
}

}  // namespace flintweir::members
