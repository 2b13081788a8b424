// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/links.h"

#include <algorithm>

namespace copperpoint::fault_testing {
namespace {

constexpr double kMaxQueueDelayS =
    0.5;  // on a link with limited bandwidth; a datagram that would wait longer is dropped

}  // namespace

// If the fault names no receivers, the receivers are all other members, or all members if all are senders.
void Links::AddFault(const Fault& fault) {
  const std::vector<int> who = SelectMembers(plan_, fault.who, seed_);
  const auto members = static_cast<std::size_t>(plan_.members);
  ActiveFault active{&fault, std::vector<bool>(members), std::vector<bool>(members, fault.to.empty())};
  for (const int member : who) {
    active.senders[static_cast<std::size_t>(member)] = true;
    active.receivers[static_cast<std::size_t>(member)] = fault.to.empty() && who.size() == members;
  }
  for (const int member : SelectMembers(plan_, fault.to, seed_))
    active.receivers[static_cast<std::size_t>(member)] = true;
  active_.push_back(std::move(active));
}

void Links::RemoveFault(const Fault& fault) {
  std::erase_if(active_, [&](const ActiveFault& active) { return active.fault == &fault; });
}

Links::Delivery Links::Transmit(double now_s, int from, int to, bool stream, std::string* bytes) {
  Delivery delivery;
  const auto x = static_cast<std::size_t>(from), y = static_cast<std::size_t>(to);
  for (const ActiveFault& active : active_) {
    if (!(active.senders[x] && active.receivers[y]) &&
        !(active.fault->both && active.senders[y] && active.receivers[x]))
      continue;
    const double amount = active.fault->amount;
    switch (active.fault->kind) {
      case FaultKind::kBandwidth: {
        double& busy = busy_until_s_[{from, to}];
        const double queue_delay_s = std::max(0.0, busy - now_s);
        if (!stream && queue_delay_s > kMaxQueueDelayS) {
          delivery.delivered = false;
          break;
        }
        busy = now_s + queue_delay_s + static_cast<double>(bytes->size()) / std::max(1.0, amount);
        delivery.extra_delay_ms += 1000 * (busy - now_s);
        break;
      }
      case FaultKind::kCut:
        delivery.delivered = false;
        break;
      case FaultKind::kLoss:
        if (amount >= 1 || (!stream && random_.Chance(amount))) delivery.delivered = false;
        break;
      case FaultKind::kDelay:
        delivery.extra_delay_ms += amount * (1 + random_.Unit());
        break;
      case FaultKind::kDuplicate:
        if (!stream && random_.Chance(amount)) ++delivery.copies;
        break;
      case FaultKind::kReorder:
        if (!stream && random_.Chance(amount)) delivery.extra_delay_ms += random_.Between(1, 50);
        break;
      case FaultKind::kCorrupt:
        if (!stream && !bytes->empty() && random_.Chance(amount))
          (*bytes)[random_.Below(bytes->size())] ^= static_cast<char>(1 << random_.Below(8));
        break;
      default:
        break;
    }
  }
  return delivery;
}

}  // namespace copperpoint::fault_testing
