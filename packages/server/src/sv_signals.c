#include "sv_signals.h"

#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>

static sigset_t
handled_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  return set;
}

void
sv_signals_block (void)
{
  sigset_t set = handled_signals ();

  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

int
sv_signals_open (void)
{
  sigset_t set = handled_signals ();

  sv_signals_block ();
  return signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}
