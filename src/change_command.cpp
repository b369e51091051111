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

// Says what it has to whoever asks, and asks for what others have.
class Client : public net::DatagramEvents, public changes::MessageHandler {
 public:
  Client(Address here, std::string fleet) : fleet_(std::move(fleet)) {
    here.port = 0;
    here_ = network_.open_datagrams(here);
    network_.wait_datagram(*this);
  }
  changes::Sender me() const { return {fleet_, "flintweir-change", here_}; }
  void send(const Address& to, const std::string& bytes) { network_.send_datagram(to, bytes); }
  // Until done() or the time is over.
  template <class Done>
  bool wait(Micros in, Done done) {
    for (const Micros until = network_.now() + in; !done() && network_.now() < until;)
      network_.run_for(until - network_.now());
    return done();
  }
  void hold(Change change) { change_ = std::move(change); }
  void datagram_pending() override {
    char bytes[changes::kMaxDatagramBytes + 1];
    for (;;) {
      const auto got = network_.receive(bytes, sizeof bytes);
      if (got.status == net::IoStatus::would_block) break;
      came_from_ = got.from;
      if (got.status == net::IoStatus::done) changes::decode({bytes, got.bytes}, fleet_, *this);
    }
    network_.wait_datagram(*this);
    network_.stop();
  }
  void on_want(const changes::Sender&, const changes::ChangeId& of, std::uint32_t wanted) override {
    if (of != change_id(change_)) return;
    for (const std::string& one : changes::encode_parts(me(), change_, wanted)) send(came_from_, one);
  }
  void on_status(const changes::Sender& from, std::uint64_t nonce, const Status& status) override {
    statuses[nonce] = {std::string(from.name), status};
  }
  std::map<std::uint64_t, std::pair<std::string, Status>> statuses;  // by the question's number

 private:
  net::KernelNetwork network_;
  // Where the datagram at hand came from: a node may tell others an address that only they can use.
  Address here_, came_from_;
  std::string fleet_;
  Change change_;
};

std::string json_text(std::string_view text) {
  std::string out;
  for (const char c : text)
    if (static_cast<unsigned char>(c) >= 0x20)
      out += (c == '"' || c == '\\') ? std::string{'\\', c} : std::string{c};
  return out;
}

}  // namespace

int change_put(const setup::OperatorFile& own, const std::string& path, std::uint64_t number,
               const Address& at) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) return std::fprintf(stderr, "flintweir: %s: can't be read\n", path.c_str()), kChangeRefused;
  Change change{ChangeNumber{number}, text.str()};
  std::vector<std::string> wrong;
  if (change.text.size() > changes::kMaxTextBytes)
    wrong.push_back(path + ": is over " + std::to_string(changes::kMaxTextBytes) + " bytes");
  else
    setup::ConfigChange::parse(change.text, path, wrong);
  for (const std::string& line : wrong) std::fprintf(stderr, "flintweir: %s\n", line.c_str());
  if (!wrong.empty()) return kChangeRefused;

  Client client(own.fleet->address, own.fleet->name);
  const changes::ChangeId ours = change_id(change);
  client.hold(std::move(change));
  std::uint64_t nonce = 0;
  for (int tries = 0; tries < 25; ++tries) {
    client.send(at, encode_have(client.me(), {ours, {}}));
    client.send(at, encode_query(client.me(), ++nonce));
    if (!client.wait(200ms, [&] { return client.statuses.contains(nonce); })) continue;
    const auto& [name, status] = client.statuses.at(nonce);
    if (status.held.newest > ours) {
      std::fprintf(stderr, "flintweir: %s has change %llu, which is later\n", name.c_str(),
                   static_cast<unsigned long long>(status.held.newest.number.value));
      return kChangeOlder;
    }
    if (status.held.newest != ours) {
      client.wait(50ms, [] { return false; });
      continue;
    }
    if (!status.reason.empty()) {
      std::fprintf(stderr, "flintweir: %s refuses change %llu: %s\n", name.c_str(),
                   static_cast<unsigned long long>(number), status.reason.c_str());
      return kChangeRefused;
    }
    std::printf("change %llu is in force at %s and on its way\n", static_cast<unsigned long long>(number),
                name.c_str());
    return 0;
  }
  std::fprintf(stderr, "flintweir: nobody at %s takes changes\n", to_text(at).c_str());
  return kChangeNoAnswer;
}

int change_show(const Address& at, bool json) {
  ViewClient members(at);
  const members::ViewQuery* const view = members.ask();
  if (!view)
    return std::fprintf(stderr, "flintweir: nobody answers at %s\n", to_text(at).c_str()), kChangeNoAnswer;
  Client client(at, "");
  std::map<std::uint64_t, const members::ViewQuery::Row*> asked;
  std::uint64_t nonce = 0;
  for (const auto& row : view->rows())
    if (row.state == members::MemberState::alive || row.state == members::MemberState::suspected ||
        row.state == members::MemberState::joining)
      asked[++nonce] = &row;
  for (int tries = 0; tries < 3; ++tries) {
    for (const auto& [no, row] : asked)
      if (!client.statuses.contains(no)) client.send(row->address, encode_query(client.me(), no));
    if (client.wait(500ms, [&] { return client.statuses.size() == asked.size(); })) break;
  }
  changes::ChangeId newest;
  for (const auto& [no, s] : client.statuses) newest = std::max(newest, s.second.held.newest);
  std::string out;
  bool all = true;
  char line[700];
  for (const auto& [no, row] : asked) {
    const auto it = client.statuses.find(no);
    const Status s = it == client.statuses.end() ? Status() : it->second.second;
    const char* const is = it == client.statuses.end() ? "silent"
                           : !s.reason.empty()         ? "refused"
                           : s.held.newest != newest   ? "behind"
                                                       : "in-force";
    all = all && it != client.statuses.end() && s.reason.empty() && s.held.newest == newest;
    std::snprintf(line, sizeof line,
                  json ? "%s{\"name\":\"%s\",\"newest\":%llu,\"in_force\":%llu,\"is\":\"%s\",\"why\":\"%s\"}"
                       : "%s%-24s %20llu %20llu %-10s %s\n",
                  json && !out.empty() ? "," : "", row->name.c_str(),
                  static_cast<unsigned long long>(s.held.newest.number.value),
                  static_cast<unsigned long long>(s.held.in_force.number.value), is,
                  json ? json_text(s.reason).c_str() : s.reason.c_str());
    out += line;
  }
  if (json)
    std::printf("{\"newest\":%llu,\"nodes\":[%s]}\n", static_cast<unsigned long long>(newest.number.value),
                out.c_str());
  else
    std::printf("%-24s %20s %20s %-10s %s\n%s", "NAME", "NEWEST", "IN FORCE", "IS", "WHY", out.c_str());
  return all ? 0 : 1;
}

}  // namespace flintweir
