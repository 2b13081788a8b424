// SPDX-License-Identifier: Apache-2.0
//
// Replaces pipe() in sanitizer builds of the program, for a test that limits its descriptors.
// UndefinedBehaviorSanitizer opens a pipe to see whether an object's memory can be read, and takes the object
// for invalid if the pipe cannot be opened. The test sets the soft limit of descriptors below the hard one;
// at the soft limit, which applies to the program, this function opens the pipe under the hard one.
#include <errno.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

// The sanitizers' libraries call this function by its name.
extern "C" int pipe(int ends[2]) {
  if (syscall(SYS_pipe2, ends, 0) == 0) return 0;
  rlimit limit{};
  if (errno != EMFILE || getrlimit(RLIMIT_NOFILE, &limit) != 0) return -1;
  const rlimit raised{limit.rlim_max, limit.rlim_max};
  if (setrlimit(RLIMIT_NOFILE, &raised) != 0) return -1;
  const int result = static_cast<int>(syscall(SYS_pipe2, ends, 0));
  setrlimit(RLIMIT_NOFILE, &limit);
  return result;
}
