#ifndef SV_SIGNALS_H
#define SV_SIGNALS_H

/* Signals that are read from a descriptor: SIGTERM and SIGINT, which ask the
   process to stop, and SIGHUP, which says that the settings have changed.  */

/* Hold them back, and ignore SIGPIPE.  Called first of all: one that comes
   before would end the process, and threads inherit what is held back.  */
void sv_signals_block (void);

/* Return a descriptor, not blocking, from which they are read as struct
   signalfd_siginfo, or -1 with errno set.  The caller closes it.  */
int sv_signals_open (void);

#endif
