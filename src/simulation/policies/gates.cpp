// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/gates.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace copperpoint::simulation {
namespace {

// How long answers waited: the time beyond what their work takes at the best, which is learnt as the least
// time over work, raised a little with every answer so that it can be forgotten.
class Wait {
 public:
  double Of(double took_ms, double work_ms) {
    const double work = std::max(work_ms, 1.0);
    least_ = least_ <= 0 ? took_ms / work : std::min(least_ * kForget, took_ms / work);
    return std::max(0.0, took_ms - kUsual * least_ * work);
  }

 private:
  static constexpr double kForget = 1.002,
                          kUsual = 3;  // backends and answers differ by as much without any wait
  double least_ = 0;
};

class Gradient : public Gate {
 public:
  bool Admits(TimePoint, const RequestReceived&, int in_flight) override { return in_flight < limit_; }
  void Answered(TimePoint, double took_ms, double work_ms, int in_flight) override {
    const double time = took_ms / std::max(work_ms, 1.0);
    short_ += (short_ <= 0 ? 1 : kShort) * (time - short_);
    long_ += (long_ <= 0 ? 1 : kLong) * (time - long_);
    if (long_ > 2 * short_) long_ *= 0.95;  // after an overload the usual is found anew
    if (in_flight < limit_ / 2) return;     // the limit is not what bounds it
    const double gradient = std::clamp(kTolerance * long_ / std::max(short_, 1e-9), 0.5, 1.0);
    const double wanted = gradient * limit_ + std::sqrt(limit_);
    limit_ = std::clamp((1 - kSmooth) * limit_ + kSmooth * wanted, 4.0, 1000.0);
  }

 private:
  static constexpr double kShort = 0.1, kLong = 0.002, kTolerance = 1.5, kSmooth = 0.2;
  double limit_ = 20, short_ = 0, long_ = 0;
};

class Codel : public Gate {
 public:
  explicit Codel(double target_ms) : target_(target_ms) {}
  bool Admits(TimePoint now, const RequestReceived&, int) override {
    if (!dropping_ || now < next_) return true;
    ++count_;
    next_ = now + kInterval / std::sqrt(count_);
    return false;
  }
  void Answered(TimePoint now, double took_ms, double work_ms, int) override {
    const double wait = wait_.Of(took_ms, work_ms);
    if (now >= ends_) {
      const bool over = least_ > target_ && ends_ != TimePoint{};
      if (over && !dropping_) next_ = now, count_ = std::max(1.0, count_ - 2);
      if (!over && dropping_ && count_ > 2) count_ -= 2;
      dropping_ = over;
      ends_ = now + kInterval;
      least_ = wait;
    }
    least_ = std::min(least_, wait);
  }

 private:
  static constexpr Duration kInterval{100};
  double target_;
  Wait wait_;
  TimePoint ends_{}, next_{};
  double least_ = 0, count_ = 1;
  bool dropping_ = false;
};

class Dagor : public Gate {
 public:
  Dagor(const Settings& settings, double target_ms) : settings_(settings), target_(target_ms) {}
  bool Admits(TimePoint now, const RequestReceived& submit, int) override {
    const std::size_t level = LevelOf(submit);
    ++seen_[level];
    if (now >= ends_) Turn(now);
    const bool admitted = level < admitted_levels_;
    admitted_ += admitted;
    return admitted;
  }
  void Answered(TimePoint, double took_ms, double work_ms, int) override {
    waited_ += wait_.Of(took_ms, work_ms);
    ++answers_;
  }

 private:
  static constexpr std::size_t kOfClass = 32, kLevels = 128;
  static constexpr Duration kWindow{500};
  static constexpr double kLess = 0.05, kMore = 0.01;

  // 0 goes first: classes by their worth, within them requests by a hash, as of users.
  std::size_t LevelOf(const RequestReceived& submit) const {
    const double worth = settings_.classes[static_cast<std::size_t>(submit.request_class)].priority_weight;
    std::size_t better = 0;
    for (const ClassSettings& c : settings_.classes) better += c.priority_weight > worth;
    const std::uint64_t user[] = {static_cast<std::uint64_t>(submit.tenant), submit.key};
    const std::size_t of_user = XXH64(user, sizeof user, 0) % kOfClass;
    return std::min(kLevels - 1, std::min<std::size_t>(better, kLevels / kOfClass - 1) * kOfClass + of_user);
  }
  void Turn(TimePoint now) {
    const bool over = answers_ > 0 && waited_ / answers_ > target_;
    double may = over ? (1 - kLess) * admitted_ : admitted_ + kMore * std::max(100.0, admitted_);
    std::size_t level = 0;
    for (double sum = 0; level < kLevels && sum + seen_[level] <= may; ++level) sum += seen_[level];
    admitted_levels_ =
        std::max<std::size_t>(1, over ? std::min(level, admitted_levels_ - (admitted_levels_ > 1))
                                      : std::max(level, admitted_levels_));
    if (!over && admitted_levels_ < kLevels) ++admitted_levels_;
    seen_ = {};
    admitted_ = waited_ = answers_ = 0;
    ends_ = now + kWindow;
  }

  const Settings settings_;
  double target_;
  Wait wait_;
  std::array<double, kLevels> seen_{};
  std::size_t admitted_levels_ = kLevels;
  double admitted_ = 0, waited_ = 0, answers_ = 0;
  TimePoint ends_{};
};

class Breakwater : public Gate {
 public:
  explicit Breakwater(double target_ms) : target_(target_ms) {}
  bool Admits(TimePoint, const RequestReceived&, int in_flight) override { return in_flight < credits_; }
  void Answered(TimePoint now, double took_ms, double work_ms, int) override {
    wait_ms_ += kGain * (wait_.Of(took_ms, work_ms) - wait_ms_);
    if (now < next_) return;
    next_ = now + kRound;
    credits_ = wait_ms_ < target_ ? credits_ + kMore
                                  : credits_ * std::max(0.5, 1 - kLess * (wait_ms_ - target_) / target_);
    credits_ = std::clamp(credits_, 2.0, 1000.0);
  }

 private:
  static constexpr Duration kRound{20};  // about a round trip
  static constexpr double kGain = 0.2, kMore = 0.5, kLess = 0.04;
  double target_;
  Wait wait_;
  TimePoint next_{};
  double credits_ = 20, wait_ms_ = 0;
};

// Of the smallest aim: what may be spent waiting.
double TargetOf(const Settings& settings) {
  constexpr double kOfAim = 0.16;  // as Breakwater has it: 80 us of an objective of 500
  double least = 1e9;
  for (const ClassSettings& c : settings.classes) least = std::min(least, c.latency_objective.count());
  return kOfAim * least;
}

}  // namespace

std::unique_ptr<Gate> MakeGate(const std::string& name, const Settings& settings) {
  if (name == "gradient") return std::make_unique<Gradient>();
  if (name == "codel") return std::make_unique<Codel>(TargetOf(settings));
  if (name == "dagor") return std::make_unique<Dagor>(settings, TargetOf(settings));
  if (name == "breakwater") return std::make_unique<Breakwater>(TargetOf(settings));
  throw std::invalid_argument("no gate is named '" + name + "'");
}

std::vector<std::string> GateNames() { return {"gradient", "codel", "dagor", "breakwater"}; }

}  // namespace copperpoint::simulation
