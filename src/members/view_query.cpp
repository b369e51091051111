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
  return decode(bytes, "", *this) == DecodeError::none && complete_;
}

void ViewQuery::on_update(const Sender&, const MemberUpdate& update) {
  page_.push_back({std::string(update.name), update.generation, update.incarnation, update.state,
                   update.address, std::string(update.zone), std::string(update.version),
                   std::string(update.reported_by)});
}

void ViewQuery::on_update_age(Micros age) { page_.back().state_age = age; }

void ViewQuery::on_view_page(const Sender& from, Nonce nonce, bool last) {
  if (nonce.value != nonce_ || complete_) return;
  ++nonce_;  // a duplicate of this reply is ignored
  if (!rows_.empty() && from.digest != digest_ && restarts_++ < kMaxRestarts) return rows_.clear();
  responder_ = from.name;
  responder_generation_ = from.generation;
  digest_ = from.digest;
  rows_.insert(rows_.end(), page_.begin(), page_.end());
  complete_ = last;
}

std::string to_json(const ViewQuery& view) {
  char line[768];
  std::snprintf(line, sizeof line, "{\"at\":\"%s\",\"view\":\"%016llx\",\"members\":[",
                view.responder().c_str(), static_cast<unsigned long long>(view.digest()));
  std::string out = line;
  for (const ViewQuery::Row& row : view.rows()) {
    std::snprintf(line, sizeof line,
                  "%s{\"name\":\"%s\",\"start\":%llu,\"word\":%u,\"address\":\"%s\",\"zone\":\"%s\","
                  "\"version\":\"%s\",\"standing\":\"%s\",\"since_ms\":%lld,\"by\":\"%s\"}",
                  &row == &view.rows().front() ? "" : ",", row.name.c_str(),
                  static_cast<unsigned long long>(row.generation.value), row.incarnation,
                  to_text(row.address).c_str(), row.zone.c_str(), row.version.c_str(), name_of(row.state),
                  static_cast<long long>(row.state_age.count() / 1000), row.reported_by.c_str());
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
  for (const ViewQuery::Row& row : view.rows()) {
    std::snprintf(line, sizeof line, "%-20s %-10s %8.1fs %-21s %-12s %-10s %s\n", row.name.c_str(),
                  name_of(row.state), static_cast<double>(row.state_age.count()) / 1e6,
                  to_text(row.address).c_str(), row.zone.empty() ? "-" : row.zone.c_str(),
                  row.version.c_str(), row.reported_by.c_str());
    out += line;
  }
  return out;
}

}  // namespace flintweir::members
