// SPDX-License-Identifier: Apache-2.0
//
// Decides whether retries are within their budget: a token bucket that first attempts fill.
#ifndef COPPERPOINT_DECISION_RETRY_BUDGET_H_
#define COPPERPOINT_DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace copperpoint {

// Bounds the load that retries add when many attempts fail to kRetriesPerRequest of the first attempts, after
// a burst of kMaxTokens. Owns the tokens.
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxTokens = 20;  // retries

  void OnFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerRequest); }
  void OnRetry() { tokens_ = std::max(0.0, tokens_ - 1); }
  bool HasToken() const { return !(tokens_ < 1); }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RETRY_BUDGET_H_
