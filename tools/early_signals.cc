// Blocks the signals that end or reload a daemon, until its loop handles them.
// Linked into the daemons only: other programs would pass the mask on to their
// child processes.
//
// An entry of .preinit_array runs before the initializers of the shared
// libraries, which take most of the time between the start of a process and
// main().
#include <signal.h>

#include <initializer_list>

namespace mimosa {
namespace {

void BlockSignals(int /*argc*/, char** /*argv*/, char** /*environment*/) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

using PreinitFunction = void (*)(int, char**, char**);
__attribute__((section(".preinit_array"), used))
const PreinitFunction kBlockSignals = &BlockSignals;

}  // namespace
}  // namespace mimosa
