// SPDX-License-Identifier: Apache-2.0
#include "rollout/history.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "rollout/progress.h"

namespace copperpoint::rollout {
namespace {

constexpr int kMaxSteps = 200;
constexpr std::uint32_t kHashMask = 0xfffff;  // The lowest 20 bits of a document version are the hash.

}  // namespace

void History::OnDocument(std::uint64_t version, const std::string& body) {
  if (version <= version_) return;
  version_ = version;
  steps_.ParseFromString(body);
}

std::optional<Document> History::Record(std::uint32_t epoch, const Entry& entry) {
  if (EpochOf(version_) != epoch) steps_.clear_steps();
  if (steps_.steps_size() >= kMaxSteps) return std::nullopt;
  const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(entry.age).count();
  wire::Step& step = *steps_.add_steps();
  step.set_event(NameOf(entry.event));
  step.set_reason(entry.reason);
  step.set_recorded_by(entry.recorded_by);
  step.set_admitted_members(entry.admitted_members);
  step.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age_ms)));
  // A history with more steps replaces one with fewer; at the same length the greater hash decides.
  std::string body = steps_.SerializeAsString();
  const std::uint32_t hash = XXH32(body.data(), body.size(), 0) & kHashMask;
  version_ = DocumentVersion(epoch, static_cast<std::uint32_t>(steps_.steps_size()) << 20 | hash);
  return Document{kHistoryTopic, version_, std::move(body)};
}

}  // namespace copperpoint::rollout
