// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/admission_gates.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <stdexcept>

namespace copperpoint::simulation {
namespace {

constexpr double kMinWorkMs = 1;
constexpr double kMaxInFlight = 1000;  // upper bound of concurrency limits and of credits
constexpr double kInitialInFlight = 20;

// Estimates the queueing delay of a response: its duration beyond the shortest one for the same work. The
// shortest is tracked as the minimum ratio of duration to work. Each response raises that minimum by a small
// factor, so that an outdated minimum expires.
class QueueingDelay {
 public:
  double OfResponse(double duration_ms, double work_ms) {
    const double work = std::max(work_ms, kMinWorkMs);
    const double time_over_work = duration_ms / work;
    min_time_over_work_ = min_time_over_work_ <= 0
                              ? time_over_work
                              : std::min(min_time_over_work_ * kMinGrowthPerResponse, time_over_work);
    return std::max(0.0, duration_ms - kToleratedRatio * min_time_over_work_ * work);
  }

 private:
  static constexpr double kMinGrowthPerResponse = 1.002;
  // Durations differ by this factor between backends and between responses even without queueing.
  static constexpr double kToleratedRatio = 3;

  double min_time_over_work_ = 0;
};

class GradientGate : public AdmissionGate {
 public:
  bool Admits(TimePoint /*now*/, const RequestReceived& /*request*/, int in_flight) override {
    return in_flight < limit_;
  }

  void OnResponseOrTimeout(TimePoint /*now*/, double duration_ms, double work_ms, int in_flight) override {
    const double time = duration_ms / std::max(work_ms, kMinWorkMs);
    short_mean_ += (short_mean_ <= 0 ? 1 : kShortSmoothing) * (time - short_mean_);
    long_mean_ += (long_mean_ <= 0 ? 1 : kLongSmoothing) * (time - long_mean_);
    // After an overload the long-term mean is too high: it decays towards the current response time.
    if (long_mean_ > 2 * short_mean_) long_mean_ *= kLongDecay;
    if (in_flight < limit_ / 2) return;  // the limit does not bound the requests in flight
    const double gradient =
        std::clamp(kTolerance * long_mean_ / std::max(short_mean_, kMinMean), kMinGradient, 1.0);
    const double unsmoothed_limit = gradient * limit_ + std::sqrt(limit_);
    limit_ = std::clamp((1 - kLimitSmoothing) * limit_ + kLimitSmoothing * unsmoothed_limit, kMinLimit,
                        kMaxInFlight);
  }

 private:
  static constexpr double kShortSmoothing = 0.1;
  static constexpr double kLongSmoothing = 0.002;
  static constexpr double kLongDecay = 0.95;
  static constexpr double kTolerance = 1.5;
  static constexpr double kMinGradient = 0.5;
  static constexpr double kLimitSmoothing = 0.2;
  static constexpr double kMinLimit = 4;
  static constexpr double kMinMean = 1e-9;

  double limit_ = kInitialInFlight;
  double short_mean_ = 0;
  double long_mean_ = 0;
};

class CodelGate : public AdmissionGate {
 public:
  explicit CodelGate(double target_ms) : target_ms_(target_ms) {}

  bool Admits(TimePoint now, const RequestReceived& /*request*/, int /*in_flight*/) override {
    if (!dropping_ || now < next_drop_) return true;
    ++drops_;
    next_drop_ = now + kInterval / std::sqrt(drops_);
    return false;
  }

  void OnResponseOrTimeout(TimePoint now, double duration_ms, double work_ms, int /*in_flight*/) override {
    const double delay_ms = delay_.OfResponse(duration_ms, work_ms);
    if (now >= interval_end_) EndInterval(now, delay_ms);
    min_delay_ms_ = std::min(min_delay_ms_, delay_ms);
  }

 private:
  static constexpr Duration kInterval{100};

  void EndInterval(TimePoint now, double delay_ms) {
    const bool over_target = min_delay_ms_ > target_ms_ && interval_end_ != TimePoint{};
    if (over_target && !dropping_) {
      next_drop_ = now;
      drops_ = std::max(1.0, drops_ - 2);
    }
    if (!over_target && dropping_ && drops_ > 2) drops_ -= 2;
    dropping_ = over_target;
    interval_end_ = now + kInterval;
    min_delay_ms_ = delay_ms;
  }

  double target_ms_;
  QueueingDelay delay_;
  TimePoint interval_end_{};
  TimePoint next_drop_{};
  double min_delay_ms_ = 0;  // in the current interval
  double drops_ = 1;
  bool dropping_ = false;
};

class DagorGate : public AdmissionGate {
 public:
  DagorGate(const Settings& settings, double target_ms) : settings_(settings), target_ms_(target_ms) {}

  bool Admits(TimePoint now, const RequestReceived& request, int /*in_flight*/) override {
    const std::size_t level = LevelOf(request);
    ++received_[level];
    if (now >= window_end_) EndWindow(now);
    const bool admitted = level < admitted_levels_;
    admitted_ += admitted;
    return admitted;
  }

  void OnResponseOrTimeout(TimePoint /*now*/, double duration_ms, double work_ms,
                           int /*in_flight*/) override {
    delay_sum_ms_ += delay_.OfResponse(duration_ms, work_ms);
    ++responses_;
  }

 private:
  static constexpr std::size_t kLevelsPerClass = 32;
  static constexpr std::size_t kLevels = 128;
  static constexpr Duration kWindow{500};
  static constexpr double kDecrease = 0.05;
  static constexpr double kIncrease = 0.01;
  static constexpr double kMinIncreaseBase = 100;  // requests

  // Level 0 is admitted first. Classes are ordered by their priority weight; within a class, requests are
  // ordered by a hash of tenant and key, which stands for DAGOR's user id.
  std::size_t LevelOf(const RequestReceived& request) const {
    const auto request_class = static_cast<std::size_t>(request.request_class);
    const double weight = settings_.classes[request_class].priority_weight;
    std::size_t higher_weight_classes = 0;
    for (const ClassSettings& c : settings_.classes) higher_weight_classes += c.priority_weight > weight;
    const std::uint64_t user[] = {static_cast<std::uint64_t>(request.tenant), request.key};
    const std::size_t level_of_user = XXH64(user, sizeof user, 0) % kLevelsPerClass;
    const std::size_t class_rank =
        std::min<std::size_t>(higher_weight_classes, kLevels / kLevelsPerClass - 1);
    return std::min(kLevels - 1, class_rank * kLevelsPerClass + level_of_user);
  }

  // Returns how many levels, counted from level 0, received at most `quota` requests in total.
  std::size_t LevelsWithin(double quota) const {
    std::size_t levels = 0;
    for (double sum = 0; levels < kLevels && sum + received_[levels] <= quota; ++levels)
      sum += received_[levels];
    return levels;
  }

  void EndWindow(TimePoint now) {
    const bool over_target = responses_ > 0 && delay_sum_ms_ / responses_ > target_ms_;
    if (over_target) {
      const std::size_t levels = LevelsWithin((1 - kDecrease) * admitted_);
      const std::size_t fewer = admitted_levels_ - (admitted_levels_ > 1);
      admitted_levels_ = std::max<std::size_t>(1, std::min(levels, fewer));
    } else {
      const std::size_t levels = LevelsWithin(admitted_ + kIncrease * std::max(kMinIncreaseBase, admitted_));
      admitted_levels_ = std::max<std::size_t>(1, std::max(levels, admitted_levels_));
      if (admitted_levels_ < kLevels) ++admitted_levels_;
    }
    received_ = {};
    admitted_ = delay_sum_ms_ = responses_ = 0;
    window_end_ = now + kWindow;
  }

  const Settings settings_;
  double target_ms_;
  QueueingDelay delay_;
  std::array<double, kLevels> received_{};  // requests in the window, by level
  std::size_t admitted_levels_ = kLevels;
  double admitted_ = 0;  // requests admitted in the window
  double delay_sum_ms_ = 0;
  double responses_ = 0;
  TimePoint window_end_{};
};

class BreakwaterGate : public AdmissionGate {
 public:
  explicit BreakwaterGate(double target_ms) : target_ms_(target_ms) {}

  bool Admits(TimePoint /*now*/, const RequestReceived& /*request*/, int in_flight) override {
    return in_flight < credits_;
  }

  void OnResponseOrTimeout(TimePoint now, double duration_ms, double work_ms, int /*in_flight*/) override {
    mean_delay_ms_ += kSmoothing * (delay_.OfResponse(duration_ms, work_ms) - mean_delay_ms_);
    if (now < next_round_) return;
    next_round_ = now + kRound;
    if (mean_delay_ms_ < target_ms_) {
      credits_ += kIncrease;
    } else {
      const double decrease = kDecrease * (mean_delay_ms_ - target_ms_) / target_ms_;
      credits_ *= std::max(kMinDecreaseFactor, 1 - decrease);
    }
    credits_ = std::clamp(credits_, kMinCredits, kMaxInFlight);
  }

 private:
  static constexpr Duration kRound{20};  // approximately a round trip
  static constexpr double kSmoothing = 0.2;
  static constexpr double kIncrease = 0.5;
  static constexpr double kDecrease = 0.04;
  static constexpr double kMinDecreaseFactor = 0.5;
  static constexpr double kMinCredits = 2;

  double target_ms_;
  QueueingDelay delay_;
  TimePoint next_round_{};
  double credits_ = kInitialInFlight;
  double mean_delay_ms_ = 0;
};

// The target queueing delay in milliseconds: a fixed fraction of the smallest latency objective.
double TargetDelayMs(const Settings& settings) {
  constexpr double kTargetPerObjective = 0.16;  // as in Breakwater: 80 us for an objective of 500 us
  constexpr double kNoObjectiveMs = 1e9;
  double min_objective_ms = kNoObjectiveMs;
  for (const ClassSettings& c : settings.classes)
    min_objective_ms = std::min(min_objective_ms, c.latency_objective.count());
  return kTargetPerObjective * min_objective_ms;
}

}  // namespace

std::unique_ptr<AdmissionGate> MakeAdmissionGate(const std::string& name, const Settings& settings) {
  if (name == "gradient") return std::make_unique<GradientGate>();
  if (name == "codel") return std::make_unique<CodelGate>(TargetDelayMs(settings));
  if (name == "dagor") return std::make_unique<DagorGate>(settings, TargetDelayMs(settings));
  if (name == "breakwater") return std::make_unique<BreakwaterGate>(TargetDelayMs(settings));
  throw std::invalid_argument("unknown admission gate '" + name +
                              "': expected gradient, codel, dagor or breakwater");
}

std::vector<std::string> AdmissionGateNames() { return {"gradient", "codel", "dagor", "breakwater"}; }

}  // namespace copperpoint::simulation
