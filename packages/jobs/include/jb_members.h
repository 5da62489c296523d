#ifndef JB_MEMBERS_H
#define JB_MEMBERS_H

/* Membership: the other entry hosts, as known from their heartbeats and from
   the rows that they renew in the store, which partitions they own, and which
   host claims a partition that has no owner.

   A member is a process, identified by its incarnation, the random number that
   it chose at its start.  The other members are also called peers.  */

#include "jb_msg.h"

/* What is known about another entry host.  */
struct jb_member
{
  uint64_t incarnation;
  char *name;
  char *address;
  char *zone;
  /* Content of its last heartbeat, and when that was received.  */
  uint32_t cpu_share_milli;  /* of one processor, in thousandths; 0: unknown */
  jb_time last_heartbeat_at; /* 0: never */
  /* When that heartbeat arrived at this host, which may have processed it
     later.  What it says is about that time, and all that the member sent
     before has been processed.  */
  jb_time last_arrival_at;
  jb_time alive_since; /* see jb_members_find_successor */
  bool stopping;
  bool store_reachable;
  jb_time store_answered_at; /* when the store last answered it; 0: never */
  uint64_t catalog_version;
  uint32_t ownership_count;
  struct jb_msg_ownership *ownerships;
  uint32_t peer_count;
  /* Live coordinators and owners that it hears.  */
  struct jb_msg_heartbeat_age *peers;
  bool is_coordinator; /* as far as this host can tell */
  uint64_t name_hash;
  /* Its row in the store.  */
  uint64_t row_version;
  jb_time row_changed_at; /* when this version was first read; 0: never */
};

struct jb_members_options
{
  struct jb_driver *driver; /* borrowed */
  const char *name;         /* this host's name */
  const char *address;      /* where peers connect to */
  const char *zone;
  uint32_t cpu_share_milli; /* of one processor, in thousandths; 0: unknown */
  uint64_t incarnation;
};

/* What this host reports about itself in its heartbeats.  */
struct jb_self_status
{
  bool stopping;
  bool store_reachable;
  int64_t store_answer_age_ms; /* since the store last answered; negative: it
                                  never has */
  uint64_t catalog_version;    /* 0: this host has no catalog */
  const struct jb_msg_ownership *ownerships; /* borrowed */
  uint32_t ownership_count;
};

struct jb_members;

/* Return a new list of members, empty and owned by MEM.  The strings of
   OPTIONS are copied.  */
struct jb_members *jb_members_new (TALLOC_CTX *mem, jb_time now,
                                   const struct jb_members_options *options);

/* Process HEARTBEAT, which is borrowed, of the member with the incarnation
   FROM.  It arrived at ARRIVED_AT and has waited until NOW.  The member counts
   as alive from NOW on, since a wait in this host is no silence of the member;
   for what the heartbeat proves about others, the arrival counts.  Return
   whether the member was silent before that: for as long as makes it count as
   not alive, no other heartbeat had arrived.  */
bool jb_members_receive_heartbeat (struct jb_members *members, jb_time now,
                                   jb_time arrived_at, uint64_t from,
                                   const struct jb_msg_heartbeat *heartbeat);

/* Send this host's heartbeat with STATUS now, even if it is not due yet, so
   that all members that get heartbeats of this host learn of a change at
   once.  */
void jb_members_send_heartbeat (struct jb_members *members, jb_time now,
                                const struct jb_self_status *status);

/* Send this host's heartbeat with STATUS, renew its row in the store and read
   the rows of the others, each if it is due.  Return the time of the next
   call.  */
jb_time jb_members_run (struct jb_members *members, jb_time now,
                        const struct jb_self_status *status);

/* Return whether a heartbeat of MEMBER was received recently.  */
bool jb_member_is_alive (const struct jb_member *member, jb_time now);

/* Return the live member that owns PARTITION, borrowed, or NULL if none does.
   If several report it, the one with the highest fence is the owner.  This
   host itself is never returned.  */
const struct jb_member *jb_members_find_owner (struct jb_members *members,
                                               jb_time now,
                                               const char *partition);

/* Return whether PARTITION, which this host must not own now, has no owner
   because the last known one released or lost it: that owner is this host, or
   is alive and reports PARTITION no longer.  */
bool jb_members_has_owner_released (struct jb_members *members, jb_time now,
                                    const char *partition);

/* Return the incarnation of the last known owner of PARTITION, or 0.  */
uint64_t jb_members_last_owner (struct jb_members *members,
                                const char *partition);

/* Return the highest fence that any host, including this one, has reported for
   PARTITION, or 0 if none has.  */
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

/* Send BYTES, an encoded message, to all known members.  */
void jb_members_send_to_all (const struct jb_members *members,
                             struct ba_bytes bytes);

/* Return whether this host is a coordinator.  */
bool jb_members_is_coordinator (const struct jb_members *members);

/* Return the number of live members, not counting this host.  */
uint32_t jb_members_count_alive (const struct jb_members *members,
                                 jb_time now);

/* Return a time up to which no other host has claimed a partition that this
   host owns, as far as heartbeats show it without the store, or 0 if they show
   nothing.  A host claims only what it believes to be vacant, so this is the
   time by which every known member had received a heartbeat of this host.  If
   some have not, but most have, the others are a minority, which claims only
   after this host's row has not been renewed for a while.  That a member hears
   this host proves nothing about those that it doesn't hear either: it may be
   cut off together with this host.  */
jb_time jb_members_unclaimed_until (const struct jb_members *members);

/* Return whether this host should claim PARTITION now: it has been vacant for
   long enough that all hosts which come first could have claimed it.
   OWN_COUNT is the number of partitions that this host owns or is claiming.
   To be called regularly, because it records since when PARTITION has been
   vacant.  */
bool jb_members_should_claim (struct jb_members *members, jb_time now,
                              const char *partition, uint32_t own_count);

/* Return the name of the host to which this host, whose state is SELF, should
   hand over one of its pools now, borrowed, or NULL if there is none: see
   jb_handover_choose.  It last handed one over at LAST_HANDOVER_AT, 0 for
   never.  An interruption of a member's heartbeats of up to 3 s does not
   count, since a host that is short of processor time receives heartbeats
   late.  */
const char *jb_members_find_successor (const struct jb_members *members,
                                       jb_time now,
                                       const struct jb_self_status *self,
                                       jb_time last_handover_at);

/* Return whether the process of the host NAME with INCARNATION is known to
   have ended, because another process with that name answered after it: a host
   has one process at a time.  INCARNATION must be from the store, for example
   from an owner row, and not 0.

   For this host's own name the answer is final.  Otherwise the current process
   with that name is asked, now and after each of its heartbeats until it has
   replied, so that false may become true a message's round trip later: call
   this repeatedly while it matters.  That the process with another incarnation
   is in the table of members does not suffice, since its heartbeats and its
   row may be from before INCARNATION was started.  A host of a previous
   version does not reply.  */
bool jb_members_has_process_ended (struct jb_members *members,
                                   const char *name, uint64_t incarnation);

/* Process PROCESS, which is borrowed, of a JB_MSG_PROCESS_QUERY of the member
   with the incarnation FROM, and of a JB_MSG_PROCESS_ENDED.  */
void jb_members_receive_process_query (struct jb_members *members,
                                       uint64_t from,
                                       const struct jb_msg_process *process);
void jb_members_receive_process_ended (struct jb_members *members,
                                       const struct jb_msg_process *process);

/* Return a fence above FENCE that a live member reports for PARTITION, or 0 if
   there is none.  */
uint64_t jb_members_superseding_fence (const struct jb_members *members,
                                       jb_time now, const char *partition,
                                       uint64_t fence);

#endif
