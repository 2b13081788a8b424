// SPDX-License-Identifier: Apache-2.0
//
// The policies by name.
#include <algorithm>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "simulation/policies/admission_gates.h"
#include "simulation/policies/oracle_policy.h"
#include "simulation/policies/pickers.h"
#include "simulation/policies/policy.h"
#include "simulation/policies/reference_policy.h"

namespace copperpoint::simulation {
namespace {

constexpr RetryLimit kRetryBudget{.max_retries = 0, .has_budget = true};

// The program's own decision module.
class BalancerPolicy : public Policy {
 public:
  explicit BalancerPolicy(PolicyContext context) : balancer_(std::move(context.settings), context.seed) {}
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) override {
    balancer_.Handle(now, event, actions);
  }

 private:
  Balancer balancer_;
};

std::invalid_argument UnknownPolicy(const std::string& name) {
  std::string known = "ours, oracle";
  for (const std::string& policy : ReferencePolicyNames()) known += ", " + policy;
  return std::invalid_argument(
      "unknown policy '" + name + "': expected one of " + known +
      "; all but ours and oracle also with a suffix: +3 for three retries, +budget for a retry budget, or an "
      "admission gate with that budget: +gradient, +codel, +dagor, +breakwater");
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::unique_ptr<Policy> MakeReferencePolicy(const std::string& name, PolicyContext context) {
  static const std::map<std::string, RetryLimit> kRetryLimits = {
      {"", {0, false}}, {"+3", {3, false}}, {"+budget", kRetryBudget}};
  const std::size_t plus = name.find('+');
  const std::string picker = name.substr(0, plus);
  const std::string suffix = plus == std::string::npos ? "" : name.substr(plus);
  if (!Contains(ReferencePolicyNames(), picker)) throw UnknownPolicy(name);
  const auto limit = kRetryLimits.find(suffix);
  if (limit != kRetryLimits.end())
    return std::make_unique<ReferencePolicy>(picker, limit->second, nullptr, std::move(context));
  const std::string gate_name = suffix.substr(1);
  if (!Contains(AdmissionGateNames(), gate_name)) throw UnknownPolicy(name);
  auto gate = MakeAdmissionGate(gate_name, context.settings);
  return std::make_unique<ReferencePolicy>(picker, kRetryBudget, std::move(gate), std::move(context));
}

}  // namespace

std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyContext context) {
  if (name == "ours") return std::make_unique<BalancerPolicy>(std::move(context));
  if (name == "oracle") return std::make_unique<OraclePolicy>(std::move(context));
  return MakeReferencePolicy(name, std::move(context));
}

std::vector<std::string> ReferencePolicyNames() { return PickerNames(); }

}  // namespace copperpoint::simulation
