// SPDX-License-Identifier: Apache-2.0
//
// Decides whether a retry is within the retry budget, a token bucket that is filled by first attempts.
#ifndef COPPERPOINT_DECISION_RETRY_BUDGET_H_
#define COPPERPOINT_DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace copperpoint {

// When many attempts fail, the budget limits retries to a burst of kMaxTokens and then to kRetriesPerRequest
// per first attempt. Owns the tokens.
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxTokens = 20;  // in retries

  void OnFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kRetriesPerRequest); }
  void OnRetry() { tokens_ = std::max(0.0, tokens_ - 1); }
  bool HasToken() const { return !(tokens_ < 1); }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RETRY_BUDGET_H_
