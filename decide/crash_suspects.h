// The suspects of a request: what would be at fault if it crashed an engine.
#ifndef DECIDE_CRASH_SUSPECTS_H_
#define DECIDE_CRASH_SUSPECTS_H_

#include "base/ids.h"

namespace mimosa {

// Returns the suspect for a part that prompts share.
inline CrashSuspectId SuspectPromptPart(const PromptPartId& part) {
  return CrashSuspectId(part.value());
}

}  // namespace mimosa

#endif  // DECIDE_CRASH_SUSPECTS_H_
