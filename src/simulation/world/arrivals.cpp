// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/arrivals.h"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast.hpp>
#include <cmath>
#include <fstream>
#include <numbers>

#include "config/read.h"

namespace copperpoint::simulation {
namespace {

template <typename Items>
std::vector<double> Shares(const Items& items) {
  std::vector<double> shares;
  for (const auto& item : items) shares.push_back(item.share);
  return shares;
}

std::vector<double> ZoneShares(const Scenario& scenario) {
  std::vector<double> shares(static_cast<std::size_t>(scenario.fleet.zones), 1);
  shares[0] += scenario.fleet.zone_skew;
  return shares;
}

template <typename Items>
int Named(const Items& items, const std::string& name) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

std::vector<Wish> ReadReplay(const Scenario& scenario) {
  const std::string& file = scenario.load.replay;
  std::ifstream in(file);
  if (!in) throw config::BadFile(file, {{0, 0, "", "cannot be read"}});
  std::vector<Wish> wishes;
  std::vector<config::Fault> faults;
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    if (line.empty() || line[0] == '#') continue;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, line, boost::algorithm::is_any_of(","));
    Wish wish;
    try {
      if (parts.size() != 5) throw std::invalid_argument("at_ms,class,account,key,work_ms is wanted");
      const double at_ms = boost::lexical_cast<double>(parts[0]);
      const int cls = Named(scenario.classes, parts[1]), account = Named(scenario.accounts, parts[2]);
      if (!(at_ms >= 0) || (!wishes.empty() && FromMs(at_ms) < wishes.back().at))
        throw std::invalid_argument("times must be 0 or more and not go back");
      if (cls < 0) throw std::invalid_argument("no class of the scenario is named '" + parts[1] + "'");
      if (account < 0) throw std::invalid_argument("no account of the scenario is named '" + parts[2] + "'");
      wish.at = FromMs(at_ms);
      wish.cls = static_cast<std::uint16_t>(cls);
      wish.account = static_cast<std::uint16_t>(account);
      wish.key = boost::lexical_cast<std::uint64_t>(parts[3]);
      wish.work_ms = boost::lexical_cast<float>(parts[4]);
      if (!(wish.work_ms > 0)) throw std::invalid_argument("work_ms must be over 0");
      wishes.push_back(wish);
    } catch (const boost::bad_lexical_cast&) {
      faults.push_back({number, 1, "", "a number is malformed"});
    } catch (const std::invalid_argument& error) {
      faults.push_back({number, 1, "", error.what()});
    }
  }
  if (!faults.empty()) throw config::BadFile(file, std::move(faults));
  return wishes;
}

// What bursts and shapes can raise the rate to.
double MostFactor(const Scenario& scenario) {
  double most = scenario.load.shape == Shape::kSteady ? 1 : 1 + scenario.load.swing;
  for (const Trouble& t : scenario.troubles) {
    if (t.kind == TroubleKind::kBurst) most *= std::max(1.0, t.size);
  }
  return most;
}

}  // namespace

Arrivals::Arrivals(const Scenario& scenario, const Day& day)
    : scenario_(scenario),
      random_(day.seed, "arrivals"),
      attributes_(day.seed, "attributes"),
      keys_random_(day.seed, "keys"),
      classes_(Shares(scenario.classes)),
      accounts_(Shares(scenario.accounts)),
      zones_(ZoneShares(scenario)),
      rate_(scenario.Rate()),
      most_rate_(rate_ * MostFactor(scenario)) {
  if (scenario.load.keys > 0) keys_.emplace(ZipfWeights(scenario.load.keys, scenario.load.zipf));
  if (!scenario.load.replay.empty()) replay_ = ReadReplay(scenario);
  for (const Account& a : scenario.accounts) tokens_.push_back(std::max(1.0, 2 * a.quota));
}

double Arrivals::RateAt(double at_s) {
  double rate = rate_;
  const Load& load = scenario_.load;
  if (load.shape == Shape::kDaily) {
    rate *= 1 + load.swing * std::sin(2 * std::numbers::pi * at_s / load.period_s);
  } else if (load.shape == Shape::kBursty) {
    while (at_s >= spell_until_s_) {
      spell_until_s_ += std::max(0.05, attributes_.Exponential(load.period_s));
      spell_ = attributes_.Between(1 - load.swing, 1 + load.swing);
    }
    rate *= spell_;
  }
  for (const Trouble& t : scenario_.troubles) {
    if (t.kind == TroubleKind::kBurst && at_s >= t.at_s && at_s < t.at_s + t.for_s) rate *= t.size;
  }
  return rate;
}

double Arrivals::Work(const RequestClass& c) {
  if (c.distribution == "constant") return c.work_ms;
  if (c.distribution == "exponential") return std::max(1e-3, attributes_.Exponential(c.work_ms));
  return attributes_.Lognormal(c.work_ms, c.work_cv);
}

// Thinned from a steady Poisson stream at the highest rate (Lewis and Shedler 1979).
bool Arrivals::Draw(Wish* wish) {
  if (most_rate_ <= 0) return false;
  do {
    at_s_ += random_.Exponential(1 / most_rate_);
    if (at_s_ >= scenario_.length_s) return false;
  } while (random_.Unit() * most_rate_ >= RateAt(at_s_));
  wish->at = FromMs(at_s_ * 1000);
  wish->cls = static_cast<std::uint16_t>(classes_(attributes_));
  wish->account = static_cast<std::uint16_t>(accounts_(attributes_));
  wish->work_ms = static_cast<float>(Work(scenario_.classes[wish->cls]));
  if (keys_) wish->key = (*keys_)(keys_random_) + 1;
  return true;
}

void Arrivals::Finish(Wish* wish) {
  wish->zone = static_cast<std::uint16_t>(zones_(attributes_));
  wish->honours = attributes_.Chance(scenario_.clients.honour);
  if (scenario_.load.hint_error >= 0)
    wish->hint_ms =
        wish->work_ms * static_cast<float>(std::exp(scenario_.load.hint_error * attributes_.Normal()));
  // An account is beyond its share while its bucket, two seconds deep, is empty.
  const double at_s = ToMs(wish->at) / 1000;
  for (std::size_t i = 0; i < tokens_.size(); ++i) {
    const double quota = scenario_.accounts[i].quota;
    tokens_[i] = std::min(std::max(1.0, 2 * quota), tokens_[i] + quota * (at_s - tokens_at_s_));
  }
  tokens_at_s_ = at_s;
  if (scenario_.accounts[wish->account].quota <= 0) return;
  double& tokens = tokens_[wish->account];
  wish->over_share = tokens < 1;
  if (!wish->over_share) tokens -= 1;
}

std::optional<Wish> Arrivals::Next() {
  Wish wish;
  if (!scenario_.load.replay.empty()) {
    if (replayed_ == replay_.size() || ToMs(replay_[replayed_].at) >= scenario_.length_s * 1000)
      return std::nullopt;
    wish = replay_[replayed_++];
  } else if (!Draw(&wish)) {
    return std::nullopt;
  }
  Finish(&wish);
  return wish;
}

}  // namespace copperpoint::simulation
