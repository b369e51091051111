#include "change_command.h"

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

#include "changes/datagram.h"
#include "setup/config_change.h"
#include "view_client.h"

namespace flintweir {
namespace {

using namespace std::chrono_literals;
using changes::Change;
using changes::ChangeNumber;
using changes::Status;

// Sends a change to the nodes that request it, and collects the status of nodes.
class ChangeClient : public net::DatagramEvents, public changes::MessageHandler {
 public:
  ChangeClient(Address local, std::string fleet) : fleet_(std::move(fleet)) {
    local.port = 0;  // a free one
    local_ = network_.open_datagrams(local);
    network_.wait_datagram(*this);
  }
  changes::Sender sender() const { return {fleet_, "flintweir-change", local_}; }
  void send(const Address& to, const std::string& bytes) { network_.send_datagram(to, bytes); }
  // Waits until done() returns true, at most for `duration`. Returns the result of done().
  template <class Done>
  bool wait(Micros duration, Done done) {
    for (const Micros until = network_.now() + duration; !done() && network_.now() < until;)
      network_.run_for(until - network_.now());
    return done();
  }
  void set_change(Change change) { change_ = std::move(change); }
  void datagram_pending() override {
    char bytes[changes::kMaxDatagramBytes + 1];
    for (;;) {
      const auto received = network_.receive(bytes, sizeof bytes);
      if (received.status == net::IoStatus::would_block) break;
      received_from_ = received.from;
      if (received.status == net::IoStatus::done) changes::decode({bytes, received.bytes}, fleet_, *this);
    }
    network_.wait_datagram(*this);
    network_.stop();
  }
  void on_want(const changes::Sender&, const changes::ChangeId& id, std::uint32_t parts) override {
    if (id != change_id(change_)) return;
    for (const std::string& part : changes::encode_parts(sender(), change_, parts))
      send(received_from_, part);
  }
  void on_status(const changes::Sender& from, std::uint64_t nonce, const Status& status) override {
    statuses[nonce] = {std::string(from.name), status};
  }
  std::map<std::uint64_t, std::pair<std::string, Status>> statuses;  // by the nonce of the query

 private:
  net::KernelNetwork network_;
  Address local_;
  // The source of the current datagram. Replies go there, because the address that a node advertises may be
  // reachable only from other nodes.
  Address received_from_;
  std::string fleet_;
  Change change_;
};

// Escapes quotes and backslashes for JSON and drops control characters.
std::string json_escaped(std::string_view text) {
  std::string out;
  for (const char c : text)
    if (static_cast<unsigned char>(c) >= 0x20)
      out += (c == '"' || c == '\\') ? std::string{'\\', c} : std::string{c};
  return out;
}

}  // namespace

int change_put(const setup::OperatorFile& operator_file, const std::string& path, std::uint64_t number,
               const Address& node) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) return std::fprintf(stderr, "flintweir: %s: cannot be read\n", path.c_str()), kChangeRefused;
  Change change{ChangeNumber{number}, text.str()};
  std::vector<std::string> errors;
  if (change.text.size() > changes::kMaxTextBytes)
    errors.push_back(path + ": is longer than " + std::to_string(changes::kMaxTextBytes) + " bytes");
  else
    setup::ConfigChange::parse(change.text, path, errors);
  for (const std::string& error : errors) std::fprintf(stderr, "flintweir: %s\n", error.c_str());
  if (!errors.empty()) return kChangeRefused;

  ChangeClient client(operator_file.fleet->address, operator_file.fleet->name);
  const changes::ChangeId id = change_id(change);
  client.set_change(std::move(change));
  std::uint64_t nonce = 0;
  for (int attempt = 0; attempt < 25; ++attempt) {
    client.send(node, encode_have(client.sender(), {id, {}}));
    client.send(node, encode_query(client.sender(), ++nonce));
    if (!client.wait(200ms, [&] { return client.statuses.contains(nonce); })) continue;
    const auto& [name, status] = client.statuses.at(nonce);
    if (status.held.newest > id) {
      std::fprintf(stderr, "flintweir: %s already has change %llu, which is newer\n", name.c_str(),
                   static_cast<unsigned long long>(status.held.newest.number.value));
      return kChangeOlder;
    }
    if (status.held.newest != id) {
      client.wait(50ms, [] { return false; });
      continue;
    }
    if (!status.reason.empty()) {
      std::fprintf(stderr, "flintweir: %s refused change %llu: %s\n", name.c_str(),
                   static_cast<unsigned long long>(number), status.reason.c_str());
      return kChangeRefused;
    }
    std::printf("change %llu is in force at %s and is being distributed\n",
                static_cast<unsigned long long>(number), name.c_str());
    return 0;
  }
  std::fprintf(stderr, "flintweir: no node at %s accepts changes\n", to_text(node).c_str());
  return kChangeNoAnswer;
}

int change_show(const Address& node, bool json) {
  ViewClient view_client(node);
  const members::ViewQuery* const view = view_client.query();
  if (!view)
    return std::fprintf(stderr, "flintweir: no response from %s\n", to_text(node).c_str()), kChangeNoAnswer;
  ChangeClient client(node, "");
  std::map<std::uint64_t, const members::ViewQuery::Row*> queried;
  std::uint64_t nonce = 0;
  for (const auto& row : view->rows())
    if (row.state == members::MemberState::alive || row.state == members::MemberState::suspected ||
        row.state == members::MemberState::joining)
      queried[++nonce] = &row;
  for (int attempt = 0; attempt < 3; ++attempt) {
    for (const auto& [query, row] : queried)
      if (!client.statuses.contains(query)) client.send(row->address, encode_query(client.sender(), query));
    if (client.wait(500ms, [&] { return client.statuses.size() == queried.size(); })) break;
  }
  changes::ChangeId newest;
  for (const auto& [query, response] : client.statuses)
    newest = std::max(newest, response.second.held.newest);
  std::string out;
  bool all_in_force = true;
  char line[700];
  for (const auto& [query, row] : queried) {
    const auto it = client.statuses.find(query);
    const Status status = it == client.statuses.end() ? Status() : it->second.second;
    const char* const state = it == client.statuses.end()    ? "silent"
                              : !status.reason.empty()       ? "refused"
                              : status.held.newest != newest ? "behind"
                                                             : "in-force";
    all_in_force =
        all_in_force && it != client.statuses.end() && status.reason.empty() && status.held.newest == newest;
    std::snprintf(line, sizeof line,
                  json ? "%s{\"name\":\"%s\",\"newest\":%llu,\"in_force\":%llu,\"is\":\"%s\",\"why\":\"%s\"}"
                       : "%s%-24s %20llu %20llu %-10s %s\n",
                  json && !out.empty() ? "," : "", row->name.c_str(),
                  static_cast<unsigned long long>(status.held.newest.number.value),
                  static_cast<unsigned long long>(status.held.in_force.number.value), state,
                  json ? json_escaped(status.reason).c_str() : status.reason.c_str());
    out += line;
  }
  if (json)
    std::printf("{\"newest\":%llu,\"nodes\":[%s]}\n", static_cast<unsigned long long>(newest.number.value),
                out.c_str());
  else
    std::printf("%-24s %20s %20s %-10s %s\n%s", "NAME", "NEWEST", "IN FORCE", "IS", "WHY", out.c_str());
  return all_in_force ? 0 : 1;
}

}  // namespace flintweir
