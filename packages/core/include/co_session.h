#ifndef CO_SESSION_H
#define CO_SESSION_H

/* Recorded sessions: the options of a core, then each event with its time and
   the actions that followed from it.  Replaying the events through a new core
   must give the same actions, byte for byte.  */

#include "ba_error.h"
#include "co_core.h"

/* Return the first record of the session of a core that starts at NOW with
   OPTIONS, owned by MEM.  */
struct ba_bytes co_session_encode_start (TALLOC_CTX *mem,
                                         const struct co_options *options,
                                         co_time now);

/* Return the record of one step: EVENT at the time NOW, and its actions in
   OUTBOX.  Owned by MEM.  */
struct ba_bytes co_session_encode_step (TALLOC_CTX *mem, co_time now,
                                        const struct co_event *event,
                                        const struct co_outbox *outbox);

/* Replay SESSION, a concatenation of records, through a new core.  Return the
   number of steps, or -1 with ERROR set if SESSION can't be decoded or at the
   first step whose actions differ from the recorded ones.  */
int64_t co_session_replay (struct ba_bytes session, GError **error);

#endif
