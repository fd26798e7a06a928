// The cases of the review. Each returns the exit code of its script: 1 when the
// rule was broken, 0 when it held, 2 when the case could not run.
#ifndef REVIEW_LAB_3_CASES_H_
#define REVIEW_LAB_3_CASES_H_

#include "review/lab-3/lab.h"

namespace boragecroft::review {

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// Idle workers are cut off twice in a row and start again behind the first cut.
auto RunRestartCase(Lab& lab) -> int;
// The collector of one instance's log does not read for a while.
auto RunLogCase(Lab& lab) -> int;
// A caller cancels a job at a holder that is cut off from the other instances.
auto RunCancelCase(Lab& lab) -> int;
// The operator's table gets a row of the same key in another part.
auto RunPartCase(Lab& lab) -> int;

}  // namespace boragecroft::review

#endif  // REVIEW_LAB_3_CASES_H_
