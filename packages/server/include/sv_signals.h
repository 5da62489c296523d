#ifndef SV_SIGNALS_H
#define SV_SIGNALS_H

/* The signals that the process reads from a file descriptor: SIGTERM and
   SIGINT begin a planned stop, and SIGHUP announces changed settings.  */

/* Block these signals, and ignore SIGPIPE.  To be called before anything else
   in the process: a signal that arrives earlier terminates it, and only
   threads that are created later inherit the signal mask.  */
void sv_signals_block (void);

/* Block these signals.  Return a non-blocking file descriptor from which they
   are read as struct signalfd_siginfo and which the caller closes, or -1 with
   errno set.  */
int sv_signals_open (void);

#endif
