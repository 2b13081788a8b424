// SPDX-License-Identifier: Apache-2.0
//
// Reads a rollout's plan from TOML and writes it back. Only this module maps the keys of the file, which are
// also those of the plan in a rollout's document, to the plan's fields.
#ifndef COPPERPOINT_ROLLOUT_PLAN_PARSER_H_
#define COPPERPOINT_ROLLOUT_PLAN_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/read.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

enum class PlanErrorCategory {
  kSyntax,          // The file is not valid TOML.
  kInvalidKey,      // A key is unknown, or its value has the wrong type or is out of range.
  kEmptyStage,      // A stage upgrades no member.
  kMissingVersion,  // The old or the new version is not named.
  kSameVersion,     // The old and the new version are the same.
  kNoStages,
};

struct PlanError {
  PlanErrorCategory category = PlanErrorCategory::kSyntax;
  std::string file;
  int line = 0;      // Counted from 1; 0 if the error has no single place.
  std::string key;   // The dotted path, such as "stage[0].members"; empty for a syntax error.
  std::string text;  // The message without file, line and key.
};

// All errors of one plan, in the order of their lines. what() has one line per error: "FILE:LINE:COLUMN: KEY:
// TEXT".
class InvalidPlan : public config::InvalidFile {
 public:
  InvalidPlan(const std::string& file, const std::vector<config::Diagnostic>& diagnostics);
  const std::vector<PlanError>& errors() const { return errors_; }

 private:
  std::vector<PlanError> errors_;
};

// Parses the TOML in `text`. `file` names the plan in error messages. Throws InvalidPlan.
Plan ParsePlan(std::string_view text, const std::string& file);

// Returns TOML that ParsePlan reads back as the same plan.
std::string FormatPlan(const Plan& plan);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PLAN_PARSER_H_
