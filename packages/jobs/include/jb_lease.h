#ifndef JB_LEASE_H
#define JB_LEASE_H

/* The lease of the runs on one backend server, as its owner bounds it.

   A grant is a command that extends the lease.  One that is not answered may
   be carried out up to JB_MAX_COMMAND_DELAY after it was sent, and its time
   may count from then.  It extends the lease only while that lives.  So the
   lease of a backend server that has become silent ends at the latest at the
   end of a chain: of the latest lease that was confirmed, extended once by
   each grant without an answer.

   The bound needs no notice of a fault: it does not depend on whether answers
   are known to be missing, on the platform's list, or on whether the backend
   server has restarted under its name, since a late grant extends the leases
   of its next incarnation.

   A start that is carried out late opens a lease where there was none; that
   is up to its task (jb_doubt.h).

   All times are those of the driver's clock.  Expected load: one or two grants
   without an answer for each backend server; a few hundred while many starts
   are in flight.  */

#include "jb_types.h"

#include <talloc.h>

struct jb_lease;

/* Return a new lease, owned by MEM, that has never been confirmed.  */
struct jb_lease *jb_lease_new (TALLOC_CTX *mem);

/* A grant of LENGTH, with all margins, is sent at NOW.  Return its number,
   which is not 0.  */
uint64_t jb_lease_add_grant (struct jb_lease *lease, jb_time now,
                             jb_time length);

/* The grant NUMBER was not sent after all.  */
void jb_lease_remove_grant (struct jb_lease *lease, uint64_t number);

/* The grant NUMBER has been sent again, not after NOW.  */
void jb_lease_resend (struct jb_lease *lease, uint64_t number, jb_time now);

/* The backend server has answered a command, as is known at NOW; NUMBER is
   the grant in it, or 0.  A grant that was sent before and has no answer may
   have been carried out by now.  */
void jb_lease_answer (struct jb_lease *lease, uint64_t number, jb_time now);

/* Grants without an answer may last for LENGTH instead: the backend server has
   another clock.  */
void jb_lease_lengthen (struct jb_lease *lease, jb_time length);

/* The lease lasts until UNTIL at the latest if no other grant extends it.  */
void jb_lease_confirm (struct jb_lease *lease, jb_time until);

/* Return the end of the latest lease that was confirmed.  */
jb_time jb_lease_confirmed_until (const struct jb_lease *lease);

/* Return when the lease has ended at the latest; if SINCE isn't 0, although a
   start that was not answered has opened one that lasts until SINCE.  */
jb_time jb_lease_end (const struct jb_lease *lease, jb_time since);

/* Return the length of all grants without an answer together that were sent
   before SENT_BEFORE and can still be carried out at NOW.  */
jb_time jb_lease_open_length (const struct jb_lease *lease, jb_time now,
                              jb_time sent_before);

/* Return when the oldest grant without an answer was sent that can still be
   carried out at NOW, or 0 if there is none.  */
jb_time jb_lease_waiting_since (const struct jb_lease *lease, jb_time now);

#endif
