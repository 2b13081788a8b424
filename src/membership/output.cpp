// SPDX-License-Identifier: Apache-2.0
#include "membership/output.h"

namespace copperpoint::membership {

const char* NameOf(Event::Kind kind) {
  switch (kind) {
    case Event::Kind::kJoined:
      return "joined";
    case Event::Kind::kSuspected:
      return "suspected";
    case Event::Kind::kRefuted:
      return "refuted";
    case Event::Kind::kDead:
      return "dead";
    case Event::Kind::kLeft:
      return "left";
    case Event::Kind::kHealed:
      return "healed";
    case Event::Kind::kNameTaken:
      return "name_taken";
    case Event::Kind::kTooNew:
      return "too_new";
  }
  return "unknown";
}

}  // namespace copperpoint::membership
