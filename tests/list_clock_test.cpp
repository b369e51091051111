// When what a node has not heard of the list counts as told: each figure by itself, and any order of troubles
// against a service whose state is known.
#include "node/list_clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace flintweir {
namespace {

using namespace std::chrono_literals;
using node::ListClock;
using Failure = ListClock::Failure;

constexpr Micros kNothing = ListClock::kNothing;
constexpr Micros kOutage = 10s;

// Each of the protocol's figures from both sides.
TEST(ListClock, CountsWhatACallThatIsOutMayKeepBack) {
  ListClock clock(kOutage);
  EXPECT_EQ(clock.told_from(), kNothing);
  EXPECT_EQ(clock.ask_by(), kNothing);
  clock.called(100s, 20s);  // may have fallen silent at once
  EXPECT_EQ(clock.told_from(), 122s);
  EXPECT_FALSE(clock.owes_list());
  clock.answered();
  EXPECT_EQ(clock.told_from(), kNothing);
  clock.called(100s, 4s);
  EXPECT_EQ(clock.told_from(), 106s);
  clock.called(100s, 4s + 1us);
  EXPECT_EQ(clock.told_from(), 106s + 1us);
  clock.called(100s, 0s);
  EXPECT_EQ(clock.told_from(), 106s);
}

// However often the service fails after the first time, and by whatever pauses.
TEST(ListClock, CountsFromTheFirstFailureOn) {
  for (const Failure how : {Failure::refused, Failure::broken}) {
    ListClock clock(kOutage);
    clock.called(90s, 20s);
    clock.failed(101s, how);
    EXPECT_TRUE(clock.owes_list());
    EXPECT_EQ(clock.told_from(), 107s);
    EXPECT_EQ(clock.ask_by(), 104s + 500ms);  // in time for a whole answer, as long as one may take
    for (const Micros at : {102s, 104s, 106s}) {
      clock.called(at, 0s);
      EXPECT_EQ(clock.told_from(), 107s);
      clock.failed(at + 1s, at == 104s ? Failure::silent : Failure::refused);
      EXPECT_EQ(clock.told_from(), 107s);
    }
    clock.called(108s, 0s);
    clock.failed(108s, Failure::unreachable);  // what it had at 101 s it had
    EXPECT_EQ(clock.told_from(), 107s);
    clock.answered();
    EXPECT_EQ(clock.told_from(), kNothing);
    EXPECT_FALSE(clock.owes_list());
    // A call may have waited for its turn until it failed.
    for (const Micros took : {Micros{4s}, 4s + 1us}) {
      clock.called(200s, 20s);
      clock.failed(200s + took, how);
      EXPECT_EQ(clock.told_from(), took == 4s ? 206s : 206s + took);
      clock.answered();
    }
  }
}

// Guards against a node that starts from an old list and whose first call comes late, by chance, and fails.
TEST(ListClock, CountsFromTheStartUntilTheFirstList) {
  for (const Failure how : {Failure::refused, Failure::broken, Failure::not_whole}) {
    ListClock clock(kOutage);
    clock.began(100s);
    EXPECT_EQ(clock.told_from(), kNothing);
    clock.called(103s, 20s);
    EXPECT_EQ(clock.told_from(), 125s);
    clock.failed(104s, how);
    EXPECT_EQ(clock.told_from(), 106s);
    clock.answered();
    clock.called(110s, 20s);
    clock.failed(120s, how);
    EXPECT_GE(clock.told_from(), 124s);
    // A watch that lasts would have told, as an answer does.
    ListClock watching(kOutage);
    watching.began(100s);
    watching.called(103s, 20s);
    watching.failed(110s, how);
    watching.called(111s, 0s);
    watching.failed(112s, how);
    EXPECT_GE(watching.told_from(), 114s);
  }
}

TEST(ListClock, CountsFromTheReturnOfAServiceThatNobodyCanReach) {
  ListClock clock(kOutage);
  const auto unreachable = [&](Micros at) {
    clock.called(at, 0s);
    clock.failed(at, Failure::unreachable);
  };
  unreachable(200s);
  EXPECT_EQ(clock.told_from(), 206s);
  EXPECT_EQ(clock.ask_by(), 202s);  // so that it is known not to have been back in between
  unreachable(202s);
  EXPECT_EQ(clock.told_from(), 208s);
  unreachable(204s + 1us);  // it may have been
  EXPECT_EQ(clock.told_from(), 208s);
  unreachable(205s);
  EXPECT_EQ(clock.told_from(), 208s);
  clock.answered();
  // Back since a while that nobody knows.
  unreachable(300s);
  clock.called(301s, 0s);
  clock.failed(301s, Failure::refused);
  EXPECT_EQ(clock.told_from(), 306s);
  unreachable(302s);
  EXPECT_EQ(clock.told_from(), 306s);
  clock.answered();
  // A connection that ends just before went down with the service; one that ends earlier did not.
  for (const Micros before : {Micros{2s}, 2s + 1us}) {
    clock.called(390s, 20s);
    clock.failed(400s - before, Failure::broken);
    unreachable(400s);
    EXPECT_EQ(clock.told_from(), before == 2s ? 406s : 406s - before);
    clock.answered();
  }
  // An answer shows that it was there.
  clock.failed(499s, Failure::refused);
  unreachable(500s);
  EXPECT_EQ(clock.told_from(), 505s);
}

// Guards against what issue 49 shows: a later failure that puts off what a call kept back, or what the new
// service has.
TEST(ListClock, KeepsWhatOnlyAListSettles) {
  ListClock clock(kOutage);
  clock.called(100s, 10s);
  clock.failed(111s, Failure::silent);
  clock.called(111s, 20s);
  clock.failed(111s, Failure::unreachable);
  EXPECT_EQ(clock.told_from(), 112s);
  for (Micros at = 112s; at < 200s; at += 1s) {
    clock.called(at, 0s);
    clock.failed(at, at % 2s == 0s ? Failure::unreachable : Failure::refused);
    EXPECT_EQ(clock.told_from(), 112s);
  }
  clock.answered();
  EXPECT_EQ(clock.told_from(), kNothing);
  // Another service is asked: what it has counts sooner than its first silence does.
  clock.turned(300s);
  clock.called(300s, 0s);
  EXPECT_EQ(clock.told_from(), 304s);
  clock.failed(301s, Failure::refused);
  clock.called(302s, 0s);
  EXPECT_EQ(clock.told_from(), 304s);
  clock.failed(303s, Failure::unreachable);
  EXPECT_EQ(clock.told_from(), 304s);
  clock.turned(303s);  // nor does one more
  EXPECT_EQ(clock.told_from(), 304s);
  clock.answered();
  // What the service before may have kept back.
  clock.called(400s, 10s);
  clock.turned(411s);
  EXPECT_EQ(clock.told_from(), 412s);
  clock.answered();
  clock.called(490s, 20s);
  clock.failed(501s, Failure::broken);
  clock.turned(504s);
  EXPECT_EQ(clock.told_from(), 507s);
  clock.answered();
  clock.called(550s, 20s);
  clock.turned(553s);
  EXPECT_EQ(clock.told_from(), 556s);
  clock.answered();
  // Half a list on a watch that may wait for long: by when it came, not by that wait.
  clock.called(600s, 20s);
  clock.failed(605s, Failure::not_whole);
  EXPECT_EQ(clock.told_from(), 609s);
  clock.answered();
  clock.called(700s, 20s);
  clock.failed(703s, Failure::not_whole);  // it may have waited for its turn
  EXPECT_EQ(clock.told_from(), 706s);
}

TEST(ListClock, BelievesAnOutageThatLasts) {
  const auto fail_until = [](ListClock& clock, Micros from, Micros until, Failure how) {
    for (Micros at = from; at <= until; at += 3s) {
      clock.called(at, 0s);
      clock.failed(at, how);
    }
  };
  for (const Failure how : {Failure::refused, Failure::broken, Failure::unreachable}) {
    ListClock clock(kOutage);
    fail_until(clock, 100s, 115s, how);
    EXPECT_EQ(clock.told_from(), 106s);
    fail_until(clock, 118s, 118s, how);  // 10 s after 106 s
    EXPECT_EQ(clock.told_from(), 124s);
    fail_until(clock, 121s, 121s, how);
    EXPECT_EQ(clock.told_from(), 127s);
    EXPECT_TRUE(clock.owes_list());
    // Any other trouble counts within it as at any time.
    ListClock turned = clock, silent = clock;
    turned.turned(122s);
    EXPECT_EQ(turned.told_from(), 126s);
    fail_until(turned, 123s, 200s, how);
    EXPECT_EQ(turned.told_from(), 126s);
    silent.called(122s, 0s);
    silent.failed(126s, Failure::silent);
    fail_until(silent, 127s, 200s, how);
    EXPECT_EQ(silent.told_from(), 127s);
    clock.answered();
    fail_until(clock, 130s, 133s, how);  // it is over with a list
    EXPECT_EQ(clock.told_from(), 136s);
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
    Micros at = kNothing;
    for (const Held& held : held_)
      if (made >= held.from && made < held.until) at = held.told;
    Micros from = made;
    while (!reachable(from) && from < kLasts) from = span_end(from);
    if (at == kNothing) at = from + ListClock::kAfterChange;
    if (turned_at_ && made <= *turned_at_) at = std::min(at, *turned_at_ + ListClock::kAfterTurn);
    return at;
  }
  // From the last answer on, each tick might have brought a change.
  void judge() {
    Micros earliest = kNothing;
    for (Micros made = heard_ + 1us; made <= now_; made += kTick) earliest = std::min(earliest, told(made));
    if (earliest <= now_ && clock_.told_from() > now_) {
      wrong_ = "at " + std::to_string(now_.count()) + " us a change counts as told since " +
               std::to_string(earliest.count()) + " us, for the clock from " +
               std::to_string(clock_.told_from().count()) + " us, after:" + trace_;
    }
    stopped_ += clock_.told_from() <= now_;
  }
  void pass(Micros until) {
    for (; now_ < until && wrong_.empty(); now_ = std::min(until, now_ + kTick)) judge();
  }
  // A call that went out then, and may wait for so long, has fallen silent.
  void fall_silent(Micros began, Micros wait, Micros limit) {
    const Micros told = std::max(now_ + ListClock::kAfterChange, began + wait + ListClock::kAfterWait);
    held_.push_back({now_, began + limit, told});
    pass(began + limit);
    fail(Failure::silent);
  }
  void note(const char* what) {
    trace_.append(" ").append(std::to_string(now_.count())).append(" ").append(what);
  }
  void turn() {
    note("turned");
    clock_.turned(now_);
    turned_at_ = now_;
  }
  void fail(Failure how) {
    constexpr const char* kNames[] = {"silent", "not whole", "refused", "broken", "unreachable"};
    note(kNames[static_cast<int>(how)]);
    const bool first = !clock_.owes_list();
    clock_.failed(now_, how);
    if (first && (how == Failure::silent || how == Failure::not_whole)) return;
    Micros next = now_ + between(500ms, 3750ms);
    const Micros in_time = clock_.ask_by() - between(0s, 1s);
    if (in_time > now_) next = std::min(next, in_time);
    pass(next);
  }
  void hear(Micros at) {
    spoilt_ = false;
    trace_.clear();
    note("answered");
    clock_.answered();
    heard_ = at;
    turned_at_.reset();
    ++settled_;
  }
  void call() {
    const bool at_once = clock_.owes_list() || now_ == 0s;
    const Micros wait = at_once ? Micros{0} : between(10s, 20s);
    clock_.called(now_, wait);
    note(at_once ? "called" : "watched");
    const Micros began = now_;
    const Micros limit = at_once ? kAnswers : wait + kSilent;
    switch (state(now_)) {
      case State::gone:
        return fail(Failure::unreachable);
      case State::crowded:
        pass(now_ + 3s);
        return fail(Failure::refused);
      case State::down:
        if (chance(0.5)) pass(now_ + 3s);
        return fail(chance(0.5) ? Failure::refused : Failure::broken);
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
      return fail(Failure::not_whole);
    }
    if (!at_once) heard_ = ends;
    pass(ends);
    if (ends < span_end(began) || span_end(began) == kLasts) return hear(at_once ? began : ends);
    switch (state(ends)) {
      case State::mute:
        return fall_silent(began, wait, limit);
      case State::crowded:
        return fail(Failure::refused);
      default:
        return fail(Failure::broken);
    }
  }

  std::mt19937 chance_;
  std::vector<Span> spans_;
  std::vector<Held> held_;
  ListClock clock_{kOutage};
  Micros now_{0}, heard_{0};
  std::optional<Micros> turned_at_;
  bool spoilt_ = false;  // an answer since the last list
  unsigned settled_ = 0, stopped_ = 0;
  std::string wrong_, trace_;  // all since the last answer
};

// Guards against any order of troubles in which a node goes on sending when something counts as told.
TEST(ListClock, NeverComesTooLateInAnyOrderOfTroubles) {
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
