#ifndef SV_SIGNALS_H
#define SV_SIGNALS_H

/* The signals that the process reads from a descriptor: SIGTERM and SIGINT ask
   it to stop, and SIGHUP says that the settings have changed.  */

/* Block these signals, and ignore SIGPIPE.  To be called before anything else
   in the process: one of them that arrives earlier ends it, and only threads
   created later inherit the mask.  */
void sv_signals_block (void);

/* Block these signals and return a non-blocking descriptor from which they are
   read as struct signalfd_siginfo, or -1 with errno set.  The caller closes
   it.  */
int sv_signals_open (void);

#endif
