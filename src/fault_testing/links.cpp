// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/links.h"

#include <algorithm>

namespace copperpoint::fault_testing {
namespace {

constexpr double kMostQueuedS = 0.5;  // on a link with a bandwidth, before datagrams are dropped

}  // namespace

// Without receivers, the others; where all are senders, each with each.
void Links::Begin(const Fault& fault) {
  const std::vector<int> who = Chosen(plan_, fault.who, seed_);
  const auto members = static_cast<std::size_t>(plan_.members);
  Link link{&fault, std::vector<bool>(members), std::vector<bool>(members, fault.to.empty())};
  for (const int member : who) {
    link.who[static_cast<std::size_t>(member)] = true;
    link.whom[static_cast<std::size_t>(member)] = fault.to.empty() && who.size() == members;
  }
  for (const int member : Chosen(plan_, fault.to, seed_)) link.whom[static_cast<std::size_t>(member)] = true;
  links_.push_back(std::move(link));
}

void Links::End(const Fault& fault) {
  std::erase_if(links_, [&](const Link& link) { return link.fault == &fault; });
}

Links::Passage Links::Pass(double now_s, int from, int to, bool stream, std::string* bytes) {
  Passage passage;
  const auto x = static_cast<std::size_t>(from), y = static_cast<std::size_t>(to);
  for (const Link& link : links_) {
    if (!(link.who[x] && link.whom[y]) && !(link.fault->both && link.who[y] && link.whom[x])) continue;
    const double amount = link.fault->amount;
    switch (link.fault->kind) {
      case FaultKind::kBandwidth: {
        double& busy = busy_until_s_[{from, to}];
        const double waits = std::max(0.0, busy - now_s);
        if (!stream && waits > kMostQueuedS) {
          passage.passes = false;
          break;
        }
        busy = now_s + waits + static_cast<double>(bytes->size()) / std::max(1.0, amount);
        passage.more_ms += 1000 * (busy - now_s);
        break;
      }
      case FaultKind::kCut:
        passage.passes = false;
        break;
      case FaultKind::kLoss:
        if (amount >= 1 || (!stream && random_.Chance(amount))) passage.passes = false;
        break;
      case FaultKind::kDelay:
        passage.more_ms += amount * (1 + random_.Unit());
        break;
      case FaultKind::kDuplicate:
        if (!stream && random_.Chance(amount)) ++passage.copies;
        break;
      case FaultKind::kReorder:
        if (!stream && random_.Chance(amount)) passage.more_ms += random_.Between(1, 50);
        break;
      case FaultKind::kCorrupt:
        if (!stream && !bytes->empty() && random_.Chance(amount))
          (*bytes)[random_.Below(bytes->size())] ^= static_cast<char>(1 << random_.Below(8));
        break;
      default:
        break;
    }
  }
  return passage;
}

}  // namespace copperpoint::fault_testing
