// Follows the list of hosts: a watch that goes on from answer to answer, told to the module as it comes.
#pragma once

#include <simdjson.h>

#include "balance.h"
#include "line/hosts.h"
#include "net/http_get.h"

namespace flintweir::node {

using namespace net;
using namespace line;

class Discovery final : HttpGet::Told {
 public:
  class Told {
   public:
    virtual Balancer& balancer_now() = 0;  // with the time said

   protected:
    ~Told() = default;
  };
  Discovery(Sockets& sockets, Wakes& wakes, const Address& at, std::vector<std::string> zones, Hosts& hosts,
            Told& told)
      : get_(sockets, wakes, at, *this), zones_(std::move(zones)), hosts_(hosts), told_(told) {}

  // Takes a list in discovery's form; false, with nothing changed, where it is malformed.
  bool take(const simdjson::dom::element& list);
  void watch();
  // Asks there from now on, at once and for a whole list: its versions have nothing to do with those so far.
  void turn_to(const Address& at);

 private:
  void http_answered(unsigned status, std::string& body) override;
  void http_failed(const char* why) override;
  void ask();
  void failed();
  // Calls entry(id, name, endpoint, zone, cell, standing, share, started) for each target; false: malformed.
  template <class Entry>
  bool each_target(const simdjson::dom::array& targets, Entry entry) const;

  HttpGet get_;
  std::vector<std::string> zones_;
  Hosts& hosts_;
  Told& told_;
  simdjson::dom::parser parser_;
  std::optional<std::uint64_t> version_;  // of the list that changes are asked for; none: a whole one is
  bool watching_ = false;
};

}  // namespace flintweir::node
