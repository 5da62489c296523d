#ifndef JB_CATALOG_FETCH_H
#define JB_CATALOG_FETCH_H

/* When to ask another entry host for its configuration, and which one.

   A host reads the configuration from the store.  When a peer has had a newer
   version for a while, the store may not answer this host, or its link may be
   slow; then this host asks one peer for a copy.  A copy may take seconds, so
   the receiver decides when there is another: there is one request at a time,
   and the time until the next one doubles while none is answered.  If peers
   sent copies by themselves, a receiver would get one from each, and copies
   that wait for its link would delay heartbeats.

   Expected load: hundreds of hosts that learn of a new version within a
   second, of which a few large ones have it at once; configurations of more
   than a megabyte over links of 10 Mbit/s.  */

#include "jb_members.h"

/* The requests of a host, zeroed at its start and whenever a newer version was
   applied.  */
struct jb_catalog_fetch
{
  jb_time outdated_since; /* when a peer with a newer version was first seen;
                             0: there is none */
  uint64_t asked;         /* incarnation of the peer that was asked last */
  uint32_t request_count;
  jb_time next_request; /* earliest time of the next request */
};

/* Return the live member to ask now for a version above OWN_VERSION, borrowed
   from MEMBERS, or NULL if it is not time to ask or no member has one.  Of the
   members with the newest version it is one that is not stopping and was not
   asked last, if possible; which one depends on OWN_INCARNATION, so that the
   requests of many hosts are spread.  The request is recorded in FETCH.  */
const struct jb_member *
jb_catalog_fetch_choose (struct jb_catalog_fetch *fetch, jb_time now,
                         const struct jb_members *members,
                         uint64_t own_incarnation, uint64_t own_version);

#endif
