// SPDX-License-Identifier: Apache-2.0
//
// Reads a rollout's plan from TOML and writes it back. The keys of the file, which are also those of the plan
// in a rollout's document, are mapped to the plan's fields here and nowhere else.
#ifndef COPPERPOINT_ROLLOUT_PLAN_PARSER_H_
#define COPPERPOINT_ROLLOUT_PLAN_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/read.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

enum class PlanErrorCategory {
  kSyntax,          // not TOML
  kInvalidKey,      // an unknown key, or a value of the wrong type or out of range
  kEmptyStage,      // a stage upgrades no member
  kMissingVersion,  // the old or the new version is not named
  kSameVersion,     // the old and the new version are the same
  kNoStages,
};

struct PlanError {
  PlanErrorCategory category = PlanErrorCategory::kSyntax;
  std::string file;
  int line = 0;      // from 1; 0 where the error is in no one place
  std::string key;   // dotted, as in "stage[0].members"; empty for an error of the syntax
  std::string text;  // for people, without the place
};

// All errors of one plan, in the order of their lines. what() has one line for each: "FILE:LINE:COLUMN: KEY:
// TEXT".
class InvalidPlan : public config::InvalidFile {
 public:
  InvalidPlan(const std::string& file, const std::vector<config::Diagnostic>& diagnostics);
  const std::vector<PlanError>& errors() const { return errors_; }

 private:
  std::vector<PlanError> errors_;
};

// `file`: the plan's name in error messages. Throws InvalidPlan.
Plan ParsePlan(std::string_view text, const std::string& file);

// TOML that reads back to the same plan.
std::string FormatPlan(const Plan& plan);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PLAN_PARSER_H_
