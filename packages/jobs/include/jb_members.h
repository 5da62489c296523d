#ifndef JB_MEMBERS_H
#define JB_MEMBERS_H

/* Membership: the entry hosts that this one knows from their heartbeats and
   from the rows that they renew in the store, and which of them owns which
   partition.  */

#include "jb_msg.h"

struct jb_member
{
  uint64_t incarnation;
  char *name;
  char *address;
  char *zone;
  uint32_t cpu_share_milli;  /* of one processor, in thousandths; 0: unknown */
  jb_time last_heartbeat_at; /* 0: never */
  bool stopping;
  bool store_reachable;
  jb_time store_answered_at; /* when the store last answered it; 0: never */
  uint64_t catalog_version;
  uint32_t ownership_count;
  struct jb_msg_ownership *ownerships;
  uint32_t peer_count;
  struct jb_msg_heartbeat_age *peers; /* whose heartbeats it has received */
  uint64_t row_version;
  jb_time row_changed_at; /* when its present row version was first seen */
};

struct jb_members_options
{
  struct jb_driver *driver;
  const char *name;
  const char *address; /* where peers connect to */
  const char *zone;
  uint32_t cpu_share_milli; /* of one processor, in thousandths; 0: unknown */
  uint64_t incarnation;
};

/* What this host reports about itself in its heartbeats.  */
struct jb_self_status
{
  bool stopping;
  bool store_reachable;
  int64_t store_answer_age_ms;
  uint64_t catalog_version;
  const struct jb_msg_ownership *ownerships;
  uint32_t ownership_count;
};

struct jb_members;

/* Return a new list of members, empty and owned by MEM.  The strings of
   OPTIONS are copied.  */
struct jb_members *jb_members_new (TALLOC_CTX *mem, jb_time now,
                                   const struct jb_members_options *options);

/* Process HEARTBEAT, which is borrowed, of the member with the incarnation
   FROM.  */
void jb_members_receive_heartbeat (struct jb_members *members, jb_time now,
                                   uint64_t from,
                                   const struct jb_msg_heartbeat *heartbeat);

/* Send this host's heartbeat to all members now, before it is due, because
   STATUS has changed.  */
void jb_members_send_heartbeat (struct jb_members *members, jb_time now,
                                const struct jb_self_status *status);

/* Send this host's heartbeat, renew its row and read the others' rows as due;
   return when to be called next.  */
jb_time jb_members_run (struct jb_members *members, jb_time now,
                        const struct jb_self_status *status);

/* Return whether a heartbeat of MEMBER was received recently.  */
bool jb_member_is_alive (const struct jb_member *member, jb_time now);

/* Return the live member that owns PARTITION, borrowed, or NULL.  This host
   itself is never returned.  */
const struct jb_member *jb_members_find_owner (struct jb_members *members,
                                               jb_time now,
                                               const char *partition);

/* Return whether the last known owner of PARTITION is alive, or is this host,
   and owns it no longer.  */
bool jb_members_has_owner_released (struct jb_members *members, jb_time now,
                                    const char *partition);

/* Return the highest fence that was reported for PARTITION, or 0.  */
uint64_t jb_members_owner_fence (struct jb_members *members,
                                 const char *partition);

/* Return the member with INCARNATION, borrowed, or NULL.  */
const struct jb_member *jb_members_find (const struct jb_members *members,
                                         uint64_t incarnation);

/* Call VISIT with DATA for each live member.  */
void jb_members_foreach_alive (const struct jb_members *members, jb_time now,
                               void (*visit) (void *data,
                                              const struct jb_member *member),
                               void *data);

/* Return the number of live members, not counting this host.  */
uint32_t jb_members_count_alive (const struct jb_members *members,
                                 jb_time now);

/* Return the latest time at which a member, by its own report, received a
   heartbeat of this host, or 0 if none did.  */
jb_time jb_members_last_heard_by_peer (const struct jb_members *members);

/* Return whether this host should claim PARTITION now.  OWN_COUNT is the
   number of partitions that it owns or is claiming.  */
bool jb_members_should_claim (struct jb_members *members, jb_time now,
                              const char *partition, uint32_t own_count);

/* Return the fence that a live peer reports for PARTITION if it is higher than
   FENCE, else 0.  */
uint64_t jb_members_superseding_fence (const struct jb_members *members,
                                       jb_time now, const char *partition,
                                       uint64_t fence);

#endif
