// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "fault_testing/quantile.h"

namespace copperpoint::fault_testing {
namespace {

std::vector<bool> Marked(const Plan& plan, const std::vector<int>& members) {
  std::vector<bool> marked(static_cast<std::size_t>(plan.members));
  for (const int member : members) marked[static_cast<std::size_t>(member)] = true;
  return marked;
}

}  // namespace

Judge::Judge(const Plan& plan, std::uint64_t seed, double silence_s)
    : plan_(plan),
      seed_(seed),
      silence_(silence_s),
      lives_(static_cast<std::size_t>(plan.members)),
      stops_(static_cast<std::size_t>(plan.members)),
      last_fault_over_(LastFaultOver(plan)) {
  for (const Fault& fault : plan.faults) {
    if (fault.when.empty()) AddCut(fault, fault.at_s);
  }
}

void Judge::AddCut(const Fault& fault, double from) {
  if (fault.kind != FaultKind::kCut && !(fault.kind == FaultKind::kLoss && fault.amount >= 0.5)) return;
  Cut cut{from, fault.for_s > 0 ? from + fault.for_s : plan_.length_s, {}, {}};
  cut.who = Marked(plan_, Chosen(plan_, fault.who, seed_));
  cut.whom = Marked(plan_, Chosen(plan_, fault.to, seed_));
  if (fault.to.empty()) {
    cut.whom = cut.who;
    cut.whom.flip();
  }
  cuts_.push_back(std::move(cut));
}

void Judge::Begun(double at, const Fault& fault) {
  AddCut(fault, at);
  last_fault_over_ = std::max(last_fault_over_, at + fault.for_s);
}

void Judge::Started(double at, int member) { lives_[static_cast<std::size_t>(member)].push_back({at}); }

void Judge::Ended(double at, int member, bool with_a_word) {
  auto& lives = lives_[static_cast<std::size_t>(member)];
  if (lives.empty() || lives.back().to >= 0) return;
  lives.back().to = at;
  lives.back().with_a_word = with_a_word;
  if (!with_a_word) deaths_.push_back({at, member, {}});
}

void Judge::Stopped(double at, int member) { stops_[static_cast<std::size_t>(member)].push_back({at}); }
void Judge::Continued(double at, int member) {
  auto& stops = stops_[static_cast<std::size_t>(member)];
  if (!stops.empty()) stops.back().to = at;
}

// Which side heard which doesn't matter: who cannot talk both ways may be given up.
bool Judge::CutOff(int a, int b, double at) const {
  const auto x = static_cast<std::size_t>(a), y = static_cast<std::size_t>(b);
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& cut) {
    // What was decided before the cut ended still spreads for as long as a suspicion takes.
    return at >= cut.from && at <= cut.to + 2 * silence_ &&
           ((cut.who[x] && cut.whom[y]) || (cut.who[y] && cut.whom[x]));
  });
}

void Judge::SaidDead(double at, int observer, int subject) {
  const auto& lives = lives_[static_cast<std::size_t>(subject)];
  for (auto death = deaths_.rbegin(); death != deaths_.rend(); ++death) {
    if (death->subject != subject) continue;
    death->known.try_emplace(observer, at);
    break;
  }
  if (lives.empty() || lives.back().to >= 0) return;                      // it had ended
  if (lives.size() > 1 && at - lives.back().from < 2 * silence_) return;  // news of the process before
  if (CutOff(observer, subject, at)) return;
  const auto& stops = stops_[static_cast<std::size_t>(subject)];
  if (!stops.empty() && (stops.back().to < 0 || at - stops.back().to < silence_) &&
      (stops.back().to < 0 ? at : stops.back().to) - stops.back().from >= silence_ - 0.3)
    return;  // it stood still for longer than silence is borne
  removals_.push_back({at, observer, subject});
}

void Judge::Agreed(double at, bool agreed) {
  if (agreement_.empty() || agreement_.back().second != agreed) agreement_.emplace_back(at, agreed);
}

void Judge::Bytes(double per_s_out, double per_s_in) {
  bytes_out_ = std::max(bytes_out_, per_s_out);
  bytes_in_ = std::max(bytes_in_, per_s_in);
}

void Judge::Served(std::uint64_t served, std::uint64_t asked) {
  served_ += served;
  asked_ += asked;
}

bool Judge::LivedThrough(int member, double from, double to) const {
  for (const Life& life : lives_[static_cast<std::size_t>(member)])
    if (life.from < from && (life.to < 0 || life.to > to)) return true;
  return false;
}

nlohmann::ordered_json Judge::Known(double end, double* worst, std::vector<std::string>* story) const {
  std::vector<double> first, all;
  *worst = 0;
  for (const Death& death : deaths_) {
    double earliest = end, latest = 0;
    // Started again: members may learn of the new process without a word of the old one's death.
    const auto& lives = lives_[static_cast<std::size_t>(death.subject)];
    const bool back =
        std::any_of(lives.begin(), lives.end(), [&](const Life& l) { return l.from > death.at; });
    for (int member = 0; member < plan_.members; ++member) {
      if (member == death.subject || CutOff(member, death.subject, death.at)) continue;
      const auto found = death.known.find(member);
      if (found != death.known.end()) {
        earliest = std::min(earliest, found->second - death.at);
        latest = std::max(latest, found->second - death.at);
      } else if (!back && LivedThrough(member, death.at, end)) {
        latest = end - death.at;
        story->push_back(fmt::format("{} never learnt that {} ended at {:.2f} s", MemberName(member),
                                     MemberName(death.subject), death.at));
      }
    }
    if (latest == 0) continue;
    first.push_back(earliest);
    all.push_back(latest);
    *worst = std::max(*worst, latest);
  }
  return {{"ends", first.size()},
          {"first_p50_s", Quantile(first, 0.5)},
          {"first_p99_s", Quantile(first, 0.99)},
          {"all_p50_s", Quantile(all, 0.5)},
          {"all_p99_s", Quantile(all, 0.99)}};
}

std::vector<double> Judge::Spread() const {
  std::vector<double> spread;
  if (deaths_.empty()) return spread;
  for (const auto& [observer, at] : deaths_.front().known) spread.push_back(at - deaths_.front().at);
  std::sort(spread.begin(), spread.end());
  return spread;
}

Judge::Verdict Judge::Close(double at, bool with_service) {
  Verdict verdict;
  auto& results = verdict.json["properties"] = nlohmann::ordered_json::array();
  for (const Property& property : plan_.properties) {
    const bool of_service =
        property.kind == PropertyKind::kServedAtLeast || property.kind == PropertyKind::kTrafficShare ||
        property.kind == PropertyKind::kRunsAtEnd || property.kind == PropertyKind::kEverRan;
    if (of_service && !with_service) continue;
    nlohmann::ordered_json result{{"kind", NameOf(property.kind)}, {"bound", property.bound}};
    bool holds = true;
    std::vector<std::string> story;
    switch (property.kind) {
      case PropertyKind::kSettlesWithin: {
        const double from = property.after_s >= 0 ? property.after_s : last_fault_over_;
        const bool agreed = !agreement_.empty() && agreement_.back().second;
        const double took = agreed ? std::max(0.0, agreement_.back().first - from) : at - from;
        holds = agreed && took <= property.bound;
        result["settled"] = agreed;
        result["seconds"] = took;
        if (!holds)
          story.push_back(
              agreed ? fmt::format("one view only {:.2f} s after {:.2f} s", took, from)
                     : fmt::format("no one view by the end, {:.2f} s after {:.2f} s", at - from, from));
        break;
      }
      case PropertyKind::kKnownWithin: {
        double worst = 0;
        result.update(Known(at, &worst, &story));
        result["worst_s"] = worst;
        holds = worst <= property.bound;
        if (!holds) story.push_back(fmt::format("an end was known to all only after {:.2f} s", worst));
        break;
      }
      case PropertyKind::kNeverRemoved: {
        holds = static_cast<double>(removals_.size()) <= property.bound;
        result["times"] = removals_.size();
        for (std::size_t i = 0; !holds && i < std::min<std::size_t>(10, removals_.size()); ++i)
          story.push_back(fmt::format("{:.3f} s: {} took {} for dead, which lived", removals_[i].at,
                                      MemberName(removals_[i].observer), MemberName(removals_[i].subject)));
        break;
      }
      case PropertyKind::kBytesAtMost:
        holds = bytes_out_ > 0 && bytes_out_ <= property.bound && bytes_in_ <= property.bound;
        result["out_per_s"] = bytes_out_;
        result["in_per_s"] = bytes_in_;
        if (!holds) story.push_back(fmt::format("{:.0f} bytes/s out, {:.0f} in", bytes_out_, bytes_in_));
        break;
      case PropertyKind::kServedAtLeast: {
        const double share = asked_ ? static_cast<double>(served_) / static_cast<double>(asked_) : 0;
        holds = asked_ > 0 && share >= property.bound;
        result["served"] = share;
        result["asked"] = asked_;
        if (!holds) story.push_back(fmt::format("{} of {} requests were served", served_, asked_));
        break;
      }
      case PropertyKind::kRefusedSome:
        holds = static_cast<double>(refusals_) >= property.bound;
        result["refused"] = refusals_;
        if (!holds) story.push_back(fmt::format("{} datagrams were refused", refusals_));
        break;
      case PropertyKind::kRunsAtEnd: {
        const auto others = std::count_if(versions_.begin(), versions_.end(), [&](const std::string& one) {
          return !one.empty() && one != property.version;
        });
        holds = !versions_.empty() && others == 0;
        result["others"] = others;
        for (std::size_t i = 0; !holds && i < versions_.size(); ++i)
          if (!versions_[i].empty() && versions_[i] != property.version)
            story.push_back(MemberName(static_cast<int>(i)) + " runs " + versions_[i] + " at the end");
        break;
      }
      case PropertyKind::kEverRan: {
        const auto ran = std::count_if(ever_.begin(), ever_.end(), [&](const std::set<std::string>& one) {
          return one.contains(property.version);
        });
        holds = static_cast<double>(ran) <= property.bound;
        result["ran"] = ran;
        if (!holds) story.push_back(fmt::format("{} members began {}", ran, property.version));
        break;
      }
      case PropertyKind::kTrafficShare: {
        std::uint64_t all = 0, theirs = 0;
        for (const std::uint64_t runs : runs_) all += runs;
        for (const int backend : ChosenBackends(plan_, property.who, seed_))
          if (backend >= 0) theirs += runs_[static_cast<std::size_t>(backend)];
        const double share = all ? static_cast<double>(theirs) / static_cast<double>(all) : 1;
        holds = all > 0 && share <= property.bound;
        result["share"] = share;
        result["runs"] = all;
        if (!holds) story.push_back(fmt::format("{} of {} requests ran there", theirs, all));
        break;
      }
      case PropertyKind::kHoldersEven: {
        double sum = 0, squares = 0;
        for (const int n : holders_) sum += n, squares += static_cast<double>(n) * n;
        const double mean = sum / static_cast<double>(std::max<std::size_t>(1, holders_.size()));
        const double mean_square = squares / static_cast<double>(std::max<std::size_t>(1, holders_.size()));
        const double deviation = std::sqrt(std::max(0.0, mean_square - mean * mean));
        holds = sum > 0 && deviation <= property.bound * mean;
        result["mean"] = mean;
        result["deviation"] = deviation;
        result["by_backend"] = holders_;
        if (!holds)
          story.push_back(
              fmt::format("proxies with a connection {:.1f} in the mean, {:.2f} deviation", mean, deviation));
        break;
      }
    }
    result["holds"] = holds;
    verdict.holds &= holds;
    for (std::string& line : story)
      if (!holds) verdict.story.push_back(NameOf(property.kind) + ": " + line);
    results.push_back(std::move(result));
  }
  for (const std::string& rule : broken_) verdict.story.push_back("broken rule: " + rule);
  verdict.holds &= broken_.empty();
  for (const std::string& when : unmet_)
    verdict.story.push_back("no fault began when " + when + ": it never came");
  verdict.holds &= unmet_.empty();
  verdict.json["rules_broken"] = broken_.size();
  return verdict;
}

}  // namespace copperpoint::fault_testing
