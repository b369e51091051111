// When what a node has not heard of the list counts as told: each figure by itself, and any order of troubles
// against a service whose state is known.
#include "node/staleness_clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace flintweir {
namespace {

using namespace std::chrono_literals;
using node::StalenessClock;
using Failure = StalenessClock::Failure;

constexpr Micros kNever = StalenessClock::kNever;
constexpr Micros kOutage = 10s;

// Each of the protocol's figures from both sides.
TEST(StalenessClock, CountsWhatACallThatIsOutMayKeepBack) {
  StalenessClock clock(kOutage);
  EXPECT_EQ(clock.stale_from(), kNever);
  EXPECT_EQ(clock.request_by(), kNever);
  clock.request_sent(100s, 20s);  // may have fallen silent at once
  EXPECT_EQ(clock.stale_from(), 122s);
  EXPECT_FALSE(clock.is_catching_up());
  clock.list_received();
  EXPECT_EQ(clock.stale_from(), kNever);
  clock.request_sent(100s, 4s);
  EXPECT_EQ(clock.stale_from(), 106s);
  clock.request_sent(100s, 4s + 1us);
  EXPECT_EQ(clock.stale_from(), 106s + 1us);
  clock.request_sent(100s, 0s);
  EXPECT_EQ(clock.stale_from(), 106s);
}

// However often the service fails after the first time, and by whatever pauses.
TEST(StalenessClock, CountsFromTheFirstFailureOn) {
  for (const Failure how : {Failure::error_response, Failure::connection_closed}) {
    StalenessClock clock(kOutage);
    clock.request_sent(90s, 20s);
    clock.request_failed(101s, how);
    EXPECT_TRUE(clock.is_catching_up());
    EXPECT_EQ(clock.stale_from(), 107s);
    EXPECT_EQ(clock.request_by(), 104s + 500ms);  // in time for a whole answer, as long as one may take
    for (const Micros at : {102s, 104s, 106s}) {
      clock.request_sent(at, 0s);
      EXPECT_EQ(clock.stale_from(), 107s);
      clock.request_failed(at + 1s, at == 104s ? Failure::timeout : Failure::error_response);
      EXPECT_EQ(clock.stale_from(), 107s);
    }
    clock.request_sent(108s, 0s);
    clock.request_failed(108s, Failure::connection_refused);  // what it had at 101 s it had
    EXPECT_EQ(clock.stale_from(), 107s);
    clock.list_received();
    EXPECT_EQ(clock.stale_from(), kNever);
    EXPECT_FALSE(clock.is_catching_up());
    // A call may have waited for its turn until it failed.
    for (const Micros took : {Micros{4s}, 4s + 1us}) {
      clock.request_sent(200s, 20s);
      clock.request_failed(200s + took, how);
      EXPECT_EQ(clock.stale_from(), took == 4s ? 206s : 206s + took);
      clock.list_received();
    }
  }
}

// Guards against a node that starts from an old list and whose first call comes late, by chance, and fails.
TEST(StalenessClock, CountsFromTheStartUntilTheFirstList) {
  for (const Failure how : {Failure::error_response, Failure::connection_closed, Failure::truncated}) {
    StalenessClock clock(kOutage);
    clock.started(100s);
    EXPECT_EQ(clock.stale_from(), kNever);
    clock.request_sent(103s, 20s);
    EXPECT_EQ(clock.stale_from(), 125s);
    clock.request_failed(104s, how);
    EXPECT_EQ(clock.stale_from(), 106s);
    clock.list_received();
    clock.request_sent(110s, 20s);
    clock.request_failed(120s, how);
    EXPECT_GE(clock.stale_from(), 124s);
    // A watch that lasts would have told, as an answer does.
    StalenessClock watching(kOutage);
    watching.started(100s);
    watching.request_sent(103s, 20s);
    watching.request_failed(110s, how);
    watching.request_sent(111s, 0s);
    watching.request_failed(112s, how);
    EXPECT_GE(watching.stale_from(), 114s);
  }
}

TEST(StalenessClock, CountsFromTheReturnOfAServiceThatNobodyCanReach) {
  StalenessClock clock(kOutage);
  const auto unreachable = [&](Micros at) {
    clock.request_sent(at, 0s);
    clock.request_failed(at, Failure::connection_refused);
  };
  unreachable(200s);
  EXPECT_EQ(clock.stale_from(), 206s);
  EXPECT_EQ(clock.request_by(), 202s);  // so that it is known not to have been back in between
  unreachable(202s);
  EXPECT_EQ(clock.stale_from(), 208s);
  unreachable(204s + 1us);  // it may have been
  EXPECT_EQ(clock.stale_from(), 208s);
  unreachable(205s);
  EXPECT_EQ(clock.stale_from(), 208s);
  clock.list_received();
  // Back since a while that nobody knows.
  unreachable(300s);
  clock.request_sent(301s, 0s);
  clock.request_failed(301s, Failure::error_response);
  EXPECT_EQ(clock.stale_from(), 306s);
  unreachable(302s);
  EXPECT_EQ(clock.stale_from(), 306s);
  clock.list_received();
  // A connection that ends just before went down with the service; one that ends earlier did not.
  for (const Micros before : {Micros{2s}, 2s + 1us}) {
    clock.request_sent(390s, 20s);
    clock.request_failed(400s - before, Failure::connection_closed);
    unreachable(400s);
    EXPECT_EQ(clock.stale_from(), before == 2s ? 406s : 406s - before);
    clock.list_received();
  }
  // An answer shows that it was there.
  clock.request_failed(499s, Failure::error_response);
  unreachable(500s);
  EXPECT_EQ(clock.stale_from(), 505s);
}

// Guards against what issue 49 shows: a later failure that puts off what a call kept back, or what the new
// service has.
TEST(StalenessClock, KeepsWhatOnlyAListSettles) {
  StalenessClock clock(kOutage);
  clock.request_sent(100s, 10s);
  clock.request_failed(111s, Failure::timeout);
  clock.request_sent(111s, 20s);
  clock.request_failed(111s, Failure::connection_refused);
  EXPECT_EQ(clock.stale_from(), 112s);
  for (Micros at = 112s; at < 200s; at += 1s) {
    clock.request_sent(at, 0s);
    clock.request_failed(at, at % 2s == 0s ? Failure::connection_refused : Failure::error_response);
    EXPECT_EQ(clock.stale_from(), 112s);
  }
  clock.list_received();
  EXPECT_EQ(clock.stale_from(), kNever);
  // Another service is asked: what it has counts sooner than its first silence does.
  clock.service_switched(300s);
  clock.request_sent(300s, 0s);
  EXPECT_EQ(clock.stale_from(), 304s);
  clock.request_failed(301s, Failure::error_response);
  clock.request_sent(302s, 0s);
  EXPECT_EQ(clock.stale_from(), 304s);
  clock.request_failed(303s, Failure::connection_refused);
  EXPECT_EQ(clock.stale_from(), 304s);
  clock.service_switched(303s);  // nor does one more
  EXPECT_EQ(clock.stale_from(), 304s);
  clock.list_received();
  // What the service before may have kept back.
  clock.request_sent(400s, 10s);
  clock.service_switched(411s);
  EXPECT_EQ(clock.stale_from(), 412s);
  clock.list_received();
  clock.request_sent(490s, 20s);
  clock.request_failed(501s, Failure::connection_closed);
  clock.service_switched(504s);
  EXPECT_EQ(clock.stale_from(), 507s);
  clock.list_received();
  clock.request_sent(550s, 20s);
  clock.service_switched(553s);
  EXPECT_EQ(clock.stale_from(), 556s);
  clock.list_received();
  // Half a list on a watch that may wait for long: by when it came, not by that wait.
  clock.request_sent(600s, 20s);
  clock.request_failed(605s, Failure::truncated);
  EXPECT_EQ(clock.stale_from(), 609s);
  clock.list_received();
  clock.request_sent(700s, 20s);
  clock.request_failed(703s, Failure::truncated);  // it may have waited for its turn
  EXPECT_EQ(clock.stale_from(), 706s);
}

// Guards against a configuration that changes something else, and ends service since discovery is down.
TEST(StalenessClock, KeepsWhatIsKnownOfAServiceThatIsNamedAgain) {
  StalenessClock clock(kOutage);
  clock.request_sent(90s, 20s);
  clock.configuration_reread(100s);
  EXPECT_EQ(clock.stale_from(), 104s);
  clock.request_sent(100s, 0s);
  clock.request_failed(101s, Failure::error_response);
  EXPECT_EQ(clock.stale_from(), 104s);
  clock.list_received();
  // It is down, and was before.
  clock.request_failed(200s, Failure::connection_refused);
  clock.configuration_reread(201s);
  EXPECT_EQ(clock.stale_from(), 206s);
  clock.request_failed(201s, Failure::connection_refused);
  EXPECT_EQ(clock.stale_from(), 207s);
  // It went down with the request that is given up.
  clock.list_received();
  clock.request_sent(290s, 20s);
  clock.configuration_reread(300s);
  clock.request_failed(301s, Failure::connection_refused);
  EXPECT_EQ(clock.stale_from(), 307s);
}

TEST(StalenessClock, BelievesAnOutageThatLasts) {
  const auto fail_until = [](StalenessClock& clock, Micros from, Micros until, Failure how) {
    for (Micros at = from; at <= until; at += 3s) {
      clock.request_sent(at, 0s);
      clock.request_failed(at, how);
    }
  };
  for (const Failure how :
       {Failure::error_response, Failure::connection_closed, Failure::connection_refused}) {
    StalenessClock clock(kOutage);
    fail_until(clock, 100s, 115s, how);
    EXPECT_EQ(clock.stale_from(), 106s);
    fail_until(clock, 118s, 118s, how);  // 10 s after 106 s
    EXPECT_EQ(clock.stale_from(), 124s);
    fail_until(clock, 121s, 121s, how);
    EXPECT_EQ(clock.stale_from(), 127s);
    EXPECT_TRUE(clock.is_catching_up());
    // Any other trouble counts within it as at any time.
    StalenessClock turned = clock, silent = clock;
    turned.service_switched(122s);
    EXPECT_EQ(turned.stale_from(), 126s);
    fail_until(turned, 123s, 200s, how);
    EXPECT_EQ(turned.stale_from(), 126s);
    silent.request_sent(122s, 0s);
    silent.request_failed(126s, Failure::timeout);
    fail_until(silent, 127s, 200s, how);
    EXPECT_EQ(silent.stale_from(), 127s);
    clock.list_received();
    fail_until(clock, 130s, 133s, how);  // it is over with a list
    EXPECT_EQ(clock.stale_from(), 136s);
  }
}

// A service whose state over time is known, a node that asks it as Discovery does, and all that could be
// heard there.
class KnownService {
 public:
  explicit KnownService(unsigned seed) : chance_(seed) {
    for (Micros at = 0s; at < kLasts;) {
      // After each trouble it is well for long enough to be heard: an outage that lasts is told from a
      // service that is crowded for as long only by that.
      const bool well = spans_.empty() || spans_.back().state != State::well;
      spans_.push_back({at, well ? State::well : any_trouble()});
      at += well                                    ? between(8s, 15s)
            : spans_.back().state == State::crowded ? between(2s, 9s)
                                                    : between(2s, 25s);
    }
  }

  // What is wrong at any moment; empty where all is well.
  std::string play() {
    while (now_ < kLasts && wrong_.empty()) {
      if (chance(0.04)) turn();
      call();
    }
    return wrong_;
  }
  unsigned settled() const { return settled_; }
  unsigned stopped() const { return stopped_; }

 private:
  static constexpr Micros kLasts = 200s, kTick = 100ms, kAnswers = 4s, kSilent = 500ms;
  enum class State {
    well,
    crowded,  // answers 503 after 3 s, yet can be reached
    down,     // answers 503, at once or after 3 s, and can't be reached
    gone,     // refuses connections
    mute      // takes calls and says nothing
  };
  struct Span {
    Micros from;
    State state;
  };
  // What a silent call keeps back of changes made meanwhile, and when that counts as told.
  struct Held {
    Micros from, until, told;
  };
  State any_trouble() {
    constexpr State kTroubles[] = {State::crowded, State::down, State::gone, State::mute};
    return kTroubles[chance_() % std::size(kTroubles)];
  }
  Micros between(Micros least, Micros most) {
    return Micros{std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(chance_)};
  }
  bool chance(double share) { return std::bernoulli_distribution(share)(chance_); }
  std::size_t span_at(Micros at) const {
    const auto after = std::upper_bound(spans_.begin(), spans_.end(), at,
                                        [](Micros t, const Span& span) { return t < span.from; });
    return static_cast<std::size_t>(after - spans_.begin()) - 1;
  }
  Micros span_end(Micros at) const {
    const std::size_t next = span_at(at) + 1;
    return next < spans_.size() ? spans_[next].from : kLasts;
  }
  State state(Micros at) const { return spans_[span_at(at)].state; }
  bool reachable(Micros at) const { return state(at) != State::down && state(at) != State::gone; }

  // When a change made then counts as told.
  Micros told(Micros made) const {
    Micros at = kNever;
    for (const Held& held : held_)
      if (made >= held.from && made < held.until) at = held.told;
    Micros from = made;
    while (!reachable(from) && from < kLasts) from = span_end(from);
    if (at == kNever) at = from + StalenessClock::kAfterChange;
    if (turned_at_ && made <= *turned_at_) at = std::min(at, *turned_at_ + StalenessClock::kAfterSwitch);
    return at;
  }
  // From the last answer on, each tick might have brought a change.
  void judge() {
    Micros earliest = kNever;
    for (Micros made = heard_ + 1us; made <= now_; made += kTick) earliest = std::min(earliest, told(made));
    if (earliest <= now_ && clock_.stale_from() > now_) {
      wrong_ = "at " + std::to_string(now_.count()) + " us a change counts as told since " +
               std::to_string(earliest.count()) + " us, for the clock from " +
               std::to_string(clock_.stale_from().count()) + " us, after:" + trace_;
    }
    stopped_ += clock_.stale_from() <= now_;
  }
  void pass(Micros until) {
    for (; now_ < until && wrong_.empty(); now_ = std::min(until, now_ + kTick)) judge();
  }
  // A call that went out then, and may wait for so long, has fallen silent.
  void fall_silent(Micros began, Micros wait, Micros limit) {
    const Micros told =
        std::max(now_ + StalenessClock::kAfterChange, began + wait + StalenessClock::kAfterWait);
    held_.push_back({now_, began + limit, told});
    pass(began + limit);
    fail(Failure::timeout);
  }
  void note(const char* what) {
    trace_.append(" ").append(std::to_string(now_.count())).append(" ").append(what);
  }
  void turn() {
    note("turned");
    clock_.service_switched(now_);
    turned_at_ = now_;
  }
  void fail(Failure how) {
    constexpr const char* kNames[] = {"silent", "not whole", "refused", "broken", "unreachable"};
    note(kNames[static_cast<int>(how)]);
    const bool first = !clock_.is_catching_up();
    clock_.request_failed(now_, how);
    if (first && (how == Failure::timeout || how == Failure::truncated)) return;
    Micros next = now_ + between(500ms, 3750ms);
    const Micros in_time = clock_.request_by() - between(0s, 1s);
    if (in_time > now_) next = std::min(next, in_time);
    pass(next);
  }
  void hear(Micros at) {
    spoilt_ = false;
    trace_.clear();
    note("answered");
    clock_.list_received();
    heard_ = at;
    turned_at_.reset();
    ++settled_;
  }
  void call() {
    const bool at_once = clock_.is_catching_up() || now_ == 0s;
    const Micros wait = at_once ? Micros{0} : between(10s, 20s);
    clock_.request_sent(now_, wait);
    note(at_once ? "called" : "watched");
    const Micros began = now_;
    const Micros limit = at_once ? kAnswers : wait + kSilent;
    switch (state(now_)) {
      case State::gone:
        return fail(Failure::connection_refused);
      case State::crowded:
        pass(now_ + 3s);
        return fail(Failure::error_response);
      case State::down:
        if (chance(0.5)) pass(now_ + 3s);
        return fail(chance(0.5) ? Failure::error_response : Failure::connection_closed);
      case State::mute:
        return fall_silent(began, wait, limit);
      case State::well:
        break;
    }
    // A watch tells of each change at once, so that all is known while it is out, until it fails.
    const Micros ends = std::min(now_ + (at_once ? Micros{50ms} : wait), span_end(now_));
    if (at_once && !spoilt_ && chance(0.15)) {
      spoilt_ = true;
      pass(now_ + between(0s, 2s));
      return fail(Failure::truncated);
    }
    if (!at_once) heard_ = ends;
    pass(ends);
    if (ends < span_end(began) || span_end(began) == kLasts) return hear(at_once ? began : ends);
    switch (state(ends)) {
      case State::mute:
        return fall_silent(began, wait, limit);
      case State::crowded:
        return fail(Failure::error_response);
      default:
        return fail(Failure::connection_closed);
    }
  }

  std::mt19937 chance_;
  std::vector<Span> spans_;
  std::vector<Held> held_;
  StalenessClock clock_{kOutage};
  Micros now_{0}, heard_{0};
  std::optional<Micros> turned_at_;
  bool spoilt_ = false;  // an answer since the last list
  unsigned settled_ = 0, stopped_ = 0;
  std::string wrong_, trace_;  // all since the last answer
};

// Guards against any order of troubles in which a node goes on sending when something counts as told.
TEST(StalenessClock, NeverComesTooLateInAnyOrderOfTroubles) {
  constexpr unsigned kSeeds = 1000;
  unsigned settled = 0, stopped = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    KnownService service(seed);
    EXPECT_EQ(service.play(), "") << "seed " << seed;
    settled += service.settled();
    stopped += service.stopped();
  }
  EXPECT_GT(settled, kSeeds * 5);
  EXPECT_GT(stopped, kSeeds * 5);
}

}  // namespace
}  // namespace flintweir
