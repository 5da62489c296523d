#ifndef JB_MEMBERS_H
#define JB_MEMBERS_H

/* The entry hosts that this one knows, by their beats and by the rows that
   they renew in the store, and who holds which duty.  */

#include "jb_msg.h"

struct jb_member
{
  uint64_t incarnation;
  char *name;
  char *address;
  char *zone;
  uint32_t
      cpu_share_milli; /* its share of one, in thousandths; 0: not known */
  jb_time heard;       /* last beat; 0: never */
  bool stopping;
  bool store_reachable;
  jb_time store_heard; /* when the store last answered it; 0: never */
  uint64_t catalog_version;
  uint32_t ownership_count;
  struct jb_msg_ownership *ownerships;
  uint32_t peer_count;
  struct jb_msg_peer_age *others;
  uint64_t row_version;
  jb_time row_changed; /* when its row was first seen as it is now */
};

struct jb_members_options
{
  struct jb_driver *driver;
  const char *name;
  const char *address; /* for peers */
  const char *zone;
  uint32_t cpu_share_milli; /* as in struct jb_member */
  uint64_t incarnation;
};

/* What this host says of itself.  */
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

/* Return new members, none but this host, owned by MEM.  */
struct jb_members *jb_members_new (TALLOC_CTX *mem, jb_time now,
                                   const struct jb_members_options *options);

/* Take in a beat.  */
void jb_members_receive_heartbeat (struct jb_members *members, jb_time now,
                                   uint64_t from,
                                   const struct jb_msg_heartbeat *beat);

/* Send this host's beat to all, before its time when something changed.  */
void jb_members_send_heartbeat (struct jb_members *members, jb_time now,
                                const struct jb_self_status *self);

/* Renew this host's row and read the others' when that is due; return when to
   be called next.  */
jb_time jb_members_run (struct jb_members *members, jb_time now,
                        const struct jb_self_status *self);

/* Return whether MEMBER was heard lately.  */
bool jb_member_is_alive (const struct jb_member *member, jb_time now);

/* Return the live member that holds PART, or NULL.  Borrowed.  */
const struct jb_member *jb_members_find_owner (struct jb_members *members,
                                               jb_time now, const char *part);

/* Return whether the last holder of PART lives and has given it up.  */
bool jb_members_owner_released (struct jb_members *members, jb_time now,
                                const char *part);

/* Return the fence of the holder of PART as last heard, or 0.  */
uint64_t jb_members_owner_fence (struct jb_members *members, const char *part);

/* Return the member INCARNATION, or NULL.  Borrowed.  */
const struct jb_member *jb_members_find (const struct jb_members *members,
                                         uint64_t incarnation);

/* Call VISIT for each live member.  */
void jb_members_foreach_alive (const struct jb_members *members, jb_time now,
                               void (*visit) (void *data,
                                              const struct jb_member *member),
                               void *data);

/* Return the number of live members, without this host.  */
uint32_t jb_members_count_alive (const struct jb_members *members,
                                 jb_time now);

/* Return the time when a live member last said that it had heard this host;
   0: none did.  */
jb_time jb_members_last_heard_by_peer (const struct jb_members *members);

/* Return whether this host should claim PART now.  LOAD is the number of
   duties that it holds or claims.  */
bool jb_members_should_claim (struct jb_members *members, jb_time now,
                              const char *part, uint32_t load);

/* Return the fence that a live peer claims for PART, if higher than FENCE;
   else 0.  */
uint64_t jb_members_superseding_fence (const struct jb_members *members,
                                       jb_time now, const char *part,
                                       uint64_t fence);

#endif
