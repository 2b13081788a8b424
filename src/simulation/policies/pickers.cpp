// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/pickers.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace copperpoint::simulation {
namespace {

bool Among(const std::vector<int>& tried, int index) {
  return std::find(tried.begin(), tried.end(), index) != tried.end();
}

class RandomPicker : public Picker {
 public:
  explicit RandomPicker(std::uint64_t seed) : random_(seed, "rival") {}
  int Pick(TimePoint, const std::vector<Candidate>&, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    return Draw(listed, tried);
  }

 protected:
  // One not tried if that can be had in a few draws.
  int Draw(const std::vector<int>& from, const std::vector<int>& tried) {
    if (from.empty()) return -1;
    int index = -1;
    for (int k = 0; k < 4; ++k) {
      index = from[random_.Below(from.size())];
      if (!Among(tried, index)) break;
    }
    return index;
  }
  Random random_;
};

class RoundRobin : public Picker {
 public:
  explicit RoundRobin(std::uint64_t seed) : next_(Random(seed, "rival").Below(1u << 20)) {}
  int Pick(TimePoint, const std::vector<Candidate>&, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    if (listed.empty()) return -1;
    int index = listed[next_++ % listed.size()];
    if (Among(tried, index)) index = listed[next_++ % listed.size()];
    return index;
  }

 private:
  std::size_t next_;
};

// Least requests of one's own in flight, over all; ties at random.
class LeastRequest : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  int Pick(TimePoint, const std::vector<Candidate>& all, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    int best = -1, ties = 0;
    double least = 0;
    for (const int i : listed) {
      const double score = all[i].in_flight + (Among(tried, i) ? 1e6 : 0);
      if (best >= 0 && score > least) continue;
      ties = best >= 0 && score == least ? ties + 1 : 1;
      if (ties > 1 && random_.Below(ties) != 0) continue;
      best = i;
      least = score;
    }
    return best;
  }
};

// Power of two choices (Mitzenmacher 2001): of two drawn at random, the one with fewer in flight.
class TwoChoices : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    const int a = Draw(listed, tried), b = Draw(listed, tried);
    if (a < 0) return -1;
    return Cost(now, all[b], b) < Cost(now, all[a], a) ? b : a;
  }

 protected:
  virtual double Cost(TimePoint, const Candidate& c, int) { return c.in_flight; }
};

// Peak EWMA (Twitter Finagle): a moving average of round trips that rises at once to a peak and decays with
// time, times the requests in flight; of two drawn at random the lower.
class PeakEwma : public TwoChoices {
 public:
  using TwoChoices::TwoChoices;
  void Resize(std::size_t n) override { seen_.resize(n); }
  void Ended(TimePoint now, int index, bool, double took_ms) override {
    Seen& s = seen_[index];
    const double elapsed = std::max(0.0, (now - s.at).count());
    const double keep = std::exp(-elapsed / kDecayMs);
    s.cost = took_ms > s.cost ? took_ms : s.cost * keep + took_ms * (1 - keep);
    s.at = now;
  }

 protected:
  double Cost(TimePoint now, const Candidate& c, int index) override {
    const Seen& s = seen_[index];
    if (s.cost == 0 && c.in_flight > 0) return kPenalty + c.in_flight;  // never answered, and owes
    const double idle = std::max(0.0, (now - s.at).count());
    return s.cost * std::exp(-idle / kDecayMs) * (c.in_flight + 1);
  }

 private:
  static constexpr double kDecayMs = 10000, kPenalty = 1e9;
  struct Seen {
    double cost = 0;
    TimePoint at{};
  };
  std::vector<Seen> seen_;
};

// Weighted by the inverse of the mean latency of late.
class LatencyWeighted : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  void Resize(std::size_t n) override { latency_.resize(n, 0); }
  void Ended(TimePoint, int index, bool, double took_ms) override {
    double& mean = latency_[index];
    mean = mean == 0 ? took_ms : mean + 0.1 * (took_ms - mean);
    known_ = known_ == 0 ? took_ms : known_ + 0.01 * (took_ms - known_);
  }
  int Pick(TimePoint, const std::vector<Candidate>&, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    if (listed.empty()) return -1;
    double sum = 0;
    for (const int i : listed) sum += Weight(i);
    double at = random_.Unit() * sum;
    for (const int i : listed) {
      at -= Weight(i);
      if (at < 0) return Among(tried, i) ? Draw(listed, tried) : i;
    }
    return listed.back();
  }

 private:
  double Weight(int i) const {
    const double mean = latency_[i] > 0 ? latency_[i] : known_ > 0 ? known_ : 1;
    return 1 / std::max(mean, 0.01);
  }
  std::vector<double> latency_;
  double known_ = 0;
};

// gRFC A50 with round robin: every interval, backends whose failure percentage exceeds the threshold leave
// for base time times multiplier. Defaults of the RFC, failure percentage only.
class OutlierRoundRobin : public RoundRobin {
 public:
  explicit OutlierRoundRobin(std::uint64_t seed) : RoundRobin(seed) {}
  void Resize(std::size_t n) override { hosts_.resize(n); }
  void Ended(TimePoint, int index, bool ok, double) override {
    ++(ok ? hosts_[index].good : hosts_[index].bad);
  }
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    if (now - swept_ >= Duration(10000)) Sweep(now, listed);
    in_service_.clear();
    for (const int i : listed) {
      if (!hosts_[i].out) in_service_.push_back(i);
    }
    return RoundRobin::Pick(now, all, in_service_.empty() ? listed : in_service_, tried);
  }

 private:
  struct Host {
    int good = 0, bad = 0, multiplier = 0;
    bool out = false;
    TimePoint since{};
  };
  void Sweep(TimePoint now, const std::vector<int>& listed) {
    swept_ = now;
    int qualifying = 0, out = 0;
    for (const int i : listed) {
      qualifying += hosts_[i].good + hosts_[i].bad >= 50;
      out += hosts_[i].out;
    }
    for (const int i : listed) {
      Host& h = hosts_[i];
      const int volume = h.good + h.bad;
      if (!h.out && qualifying >= 5 && volume >= 50 && 100.0 * h.bad > 85.0 * volume &&
          100.0 * out < 10.0 * static_cast<double>(listed.size())) {
        h.out = true, ++h.multiplier, ++out, h.since = now;
      } else if (h.out) {
        const Duration most(std::max(30000.0, 300000.0));
        if (now - h.since >= std::min(Duration(30000.0 * h.multiplier), most)) h.out = false;
      } else if (h.multiplier > 0) {
        --h.multiplier;
      }
      h.good = h.bad = 0;
    }
  }
  std::vector<Host> hosts_;
  std::vector<int> in_service_;
  TimePoint swept_{};
};

// Prequal (Wydrowski et al., NSDI 2024): probes ahead of need, a pool of their answers; those above the
// quantile of requests in flight are hot. Of the cold the one of least latency, if all are hot the one with
// the fewest in flight. Used answers wear out.
class Prequal : public RandomPicker {
 public:
  Prequal(std::uint64_t seed, std::function<void(int)> probe)
      : RandomPicker(seed), probe_(std::move(probe)) {}
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& listed,
           const std::vector<int>& tried) override {
    if (listed.empty()) return -1;
    for (int k = 0; k < kProbesPerRequest; ++k) probe_(listed[random_.Below(listed.size())]);
    std::erase_if(pool_, [&](const Answer& a) {
      return now - a.at > Duration(kAgeMs) || a.uses >= kUses || !all[a.index].listed;
    });
    const bool spare = pool_.size() < 2;
    if (spare) return Draw(listed, tried);
    const int hot = HotAbove();
    Answer* best = nullptr;
    for (Answer& a : pool_) {
      if (Among(tried, a.index)) continue;
      if (!best || Better(a, *best, hot)) best = &a;
    }
    if (!best) return Draw(listed, tried);
    ++best->uses;
    ++best->in_flight;
    return best->index;
  }
  void Probed(TimePoint now, int index, int in_flight, double latency_ms) override {
    std::erase_if(pool_, [&](const Answer& a) { return a.index == index; });
    if (pool_.size() >= kPool) pool_.pop_front();
    pool_.push_back({index, in_flight, latency_ms, now, 0});
    recent_.push_back(in_flight);
    if (recent_.size() > 64) recent_.pop_front();
  }

 private:
  static constexpr int kProbesPerRequest = 2, kUses = 2;
  static constexpr std::size_t kPool = 16;
  static constexpr double kAgeMs = 1000, kQuantile = 0.84;
  struct Answer {
    int index, in_flight;
    double latency_ms;
    TimePoint at;
    int uses;
  };
  int HotAbove() const {
    std::vector<int> sorted(recent_.begin(), recent_.end());
    const auto at = static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
    return sorted[static_cast<std::size_t>(at)];
  }
  static bool Better(const Answer& a, const Answer& b, int hot) {
    const bool a_hot = a.in_flight > hot, b_hot = b.in_flight > hot;
    if (a_hot != b_hot) return b_hot;
    return a_hot ? a.in_flight < b.in_flight : a.latency_ms < b.latency_ms;
  }
  std::function<void(int)> probe_;
  std::deque<Answer> pool_;
  std::deque<int> recent_;
};

using Make = std::unique_ptr<Picker> (*)(std::uint64_t, std::function<void(int)>);
template <typename P>
std::unique_ptr<Picker> Plain(std::uint64_t seed, std::function<void(int)>) {
  return std::make_unique<P>(seed);
}

const std::map<std::string, Make>& Makers() {
  static const std::map<std::string, Make> makers = {
      {"random", Plain<RandomPicker>},
      {"round_robin", Plain<RoundRobin>},
      {"least_request", Plain<LeastRequest>},
      {"p2c", Plain<TwoChoices>},
      {"peak_ewma", Plain<PeakEwma>},
      {"latency", Plain<LatencyWeighted>},
      {"a50_rr", Plain<OutlierRoundRobin>},
      {"prequal",
       [](std::uint64_t seed, std::function<void(int)> probe) -> std::unique_ptr<Picker> {
         return std::make_unique<Prequal>(seed, std::move(probe));
       }},
  };
  return makers;
}

}  // namespace

std::unique_ptr<Picker> MakePicker(const std::string& name, std::uint64_t seed,
                                   std::function<void(int)> probe) {
  const auto found = Makers().find(name);
  return found == Makers().end() ? nullptr : found->second(seed, std::move(probe));
}

std::vector<std::string> PickerNames() {
  std::vector<std::string> names;
  for (const auto& [name, make] : Makers()) names.push_back(name);
  return names;
}

}  // namespace copperpoint::simulation
