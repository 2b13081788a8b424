// SPDX-License-Identifier: Apache-2.0
//
// What the decision module counts with: a random source, averages, memories and the record of a
// request. No decisions.
#ifndef COPPERPOINT_DECISION_MEASURES_H_
#define COPPERPOINT_DECISION_MEASURES_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/client_retry_detector.h"
#include "decision/running_mean.h"

namespace copperpoint {

// Work this proxy sent to one cold server within the rule's window. Everything sent counts.
class SentWindow {
 public:
  void Add(TimePoint now, double work) { sent_.emplace_back(now, work); }
  void Clear() { sent_.clear(); }
  double Within(TimePoint now, Duration window) {
    std::erase_if(sent_, [&](const auto& sent) { return now - sent.first > window; });
    double sum = 0;
    for (const auto& [at, work] : sent_) sum += work;
    return sum;
  }

 private:
  std::vector<std::pair<TimePoint, double>> sent_;
};

// Where keys were sent lately: a server that met a key serves it again with less work.
class KeyMemory {
 public:
  explicit KeyMemory(Duration kept) : kept_(kept) {}
  void Met(std::uint64_t key, std::size_t server, TimePoint now) {
    while (!order_.empty() && now - order_.front().first >= kept_) {
      const auto found = met_.find(order_.front().second);
      if (found != met_.end()) {
        std::erase_if(found->second, [&](const auto& met) { return now - met.second >= kept_; });
        if (found->second.empty()) met_.erase(found);
      }
      order_.pop_front();
    }
    auto& servers = met_[key];
    std::erase_if(servers, [&](const auto& met) { return met.first == server; });
    servers.emplace_back(server, now);
    order_.emplace_back(now, key);
  }
  // Calls look(server) for the last few that met it.
  template <typename Look>
  void ForLatest(std::uint64_t key, TimePoint now, const Look& look) const {
    constexpr std::size_t kLooked = 8;
    const auto found = met_.find(key);
    if (key == 0 || found == met_.end()) return;
    const auto& servers = found->second;
    for (std::size_t k = servers.size(); k > 0 && servers.size() - k < kLooked; --k) {
      if (now - servers[k - 1].second < kept_) look(servers[k - 1].first);
    }
  }
  bool Warm(std::uint64_t key, std::size_t server, TimePoint now) const {
    const auto found = met_.find(key);
    if (found == met_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& met) { return met.first == server && now - met.second < kept_; });
  }

 private:
  Duration kept_;
  std::unordered_map<std::uint64_t, std::vector<std::pair<std::size_t, TimePoint>>> met_;
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;
};

// ---- what is kept of requests --------------------------------------------------------------------------
using ServerIndex = std::uint32_t;  // of the dense list of servers

struct Attempt {
  ServerIndex server = 0;
  TimePoint sent_at{};
  bool outstanding = true;
  bool may_have_run = true;
  bool overdue = false;  // out for longer than such answers take: it may never end by itself
};

struct Request {
  RequestId id = 0;
  int cls = 0, tenant = -1;
  double work = 1;
  double value = 0;
  double rank = 0;  // among those held: what serving it adds to the goal
  std::uint64_t key = 0;
  TimePoint arrived{}, due{};
  TimePoint refuse_at{}, patient_until{};  // while held: given up then, or where all is silent then
  std::uint64_t fingerprint = 0;
  bool hinted = false;
  LogicalRequest wish;  // of the client, that this is a try at
  std::vector<Attempt> attempts;
  bool finished = false, streaming = false, held = false;
  int outstanding() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; }));
  }
};

// How long clients usually give a try: the times that come again and again, which may be several, as clients
// differ in patience. One that is new takes the place of the one that has come least.
class UsualTimes {
 public:
  // Counts `left`; how often it has come of late, give or take `same` of it.
  int Vote(Duration left, double same) {
    if (++votes_ % kHalved == 0) {
      for (Slot& slot : slots_) slot.votes /= 2;
    }
    Slot* least = &slots_[0];
    for (Slot& slot : slots_) {
      if (slot.votes > 0 && std::abs((left - slot.time).count()) <= same * slot.time.count())
        return ++slot.votes;
      if (slot.votes < least->votes) least = &slot;
    }
    *least = {left, 1};
    return 1;
  }
  int most() const {
    int most = 0;
    for (const Slot& slot : slots_) most = std::max(most, slot.votes);
    return most;
  }

 private:
  static constexpr int kHalved = 256;  // votes after which half is forgotten
  struct Slot {
    Duration time{0};
    int votes = 0;
  };
  std::array<Slot, 8> slots_{};
  int votes_ = 0;
};

// A run of events of one kind, each of a server; it counts only as one of several servers.
class Run {
 public:
  // Its length with this one; 0 while all are of the same server.
  int Add(ServerIndex server) {
    several_ |= length_ > 0 && server != last_;
    last_ = server;
    ++length_;
    return several_ ? length_ : 0;
  }
  void End() { length_ = 0, several_ = false; }
  bool empty() const { return length_ == 0; }

 private:
  int length_ = 0;
  ServerIndex last_ = 0;
  bool several_ = false;
};

// What a server of a kind serves, over what a mean one does, from servers that have all of their capacity. By
// work, not by how long answers take: a least-work pick gives slow machines less until their answers take
// hardly longer.
class KindShares {
 public:
  explicit KindShares(Duration memory) : memory_(memory) {}
  void Served(int kind, double work) { kinds_[kind].served += work; }
  void Stood(int kind, double ms) { kinds_[kind].stood += ms; }  // one server, ready to serve
  void Forget(Duration elapsed) {
    const double kept = std::exp(-elapsed / memory_);
    all_ = {};
    for (auto& [kind, of] : kinds_) {
      of.served *= kept, of.stood *= kept;
      all_.served += of.served, all_.stood += of.stood;
    }
  }
  // `prior`: work for which it is taken to be the mean.
  double Of(int kind, double prior) const {
    const auto found = kinds_.find(kind);
    if (found == kinds_.end() || all_.stood <= 0) return 1;
    return (found->second.served + prior) / (found->second.stood * all_.served / all_.stood + prior);
  }

 private:
  struct Kind {
    double served = 0, stood = 0;
  };
  Duration memory_;
  std::unordered_map<int, Kind> kinds_;
  Kind all_;
};

// What this proxy has seen of a class.
struct ClassState {
  RunningMean latency, work;  // time over WorkScale; hinted work
  UsualTimes usual_times;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_MEASURES_H_
