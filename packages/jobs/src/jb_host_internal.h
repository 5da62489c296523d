#ifndef JB_HOST_INTERNAL_H
#define JB_HOST_INTERNAL_H

/* Shared by the parts of a host; not for its users.  */

#include "jb_host.h"
#include "jb_planner.h"
#include "jb_pool.h"

struct pool_slot
{
  char *name;
  struct jb_pool *pool; /* NULL: neither held nor being claimed */
  jb_time next_claim;
};

/* A maintenance wave that operators asked for.  */
struct requested_wave
{
  jb_time seen;
  struct jb_wave_entry entry;
};

struct jb_host
{
  struct jb_host_options options;
  struct jb_driver *driver;
  struct jb_members *members;
  struct jb_frontend *entry;
  const struct jb_catalog *catalog; /* NULL: none yet */
  jb_time catalog_since;
  jb_time catalog_sent;
  GPtrArray *pools;           /* struct pool_slot */
  struct jb_planner *planner; /* NULL: neither held nor being claimed */
  jb_time next_plan;          /* claim of that duty */
  GPtrArray *waves;           /* struct requested_wave */
  jb_time next_load;
  jb_time now;  /* of the event that is being taken in */
  jb_time wall; /* Unix time of the clock's origin */
  bool stopping;
  jb_time cut_since; /* others reach the store, this host does not; or 0 */
  bool beat_due;     /* something changed that peers should know */
  /* what operators wrote */
  bool watching;
  uint64_t watched; /* version */
  jb_time next_watch;
  /* backend servers */
  bool listing;
  jb_time next_list;
  jb_time list_often_until;
  jb_time next_elect;
};

/* ---- jb_host.c ---- */

/* Return what is known of the pool NAME, or NULL.  Borrowed.  */
struct pool_slot *jb_host_find_slot (const struct jb_host *host,
                                     const char *name);

/* Return whether HELD is held here, not only being claimed.  */
bool jb_host_slot_is_owned (const struct pool_slot *held);

/* Return whether the store answers this host.  */
bool jb_host_store_reachable (const struct jb_host *host, jb_time now);

/* Return the number of duties held or being claimed.  */
uint32_t jb_host_ownership_count (const struct jb_host *host);

/* ---- jb_host_planner.c ---- */

/* Claim, confirm or give up the planner's duty.  HEARD_BY is when others last
   heard this host, if it does not reach the store; else 0.  */
void jb_host_elect_planner (struct jb_host *host, jb_time now,
                            jb_time heard_by);

/* Tell the planner what organisations use of the pools held here, and of those
   pools' load.  */
void jb_host_send_usages (struct jb_host *host, jb_time now);
void jb_host_send_loads (struct jb_host *host, jb_time now);

/* The planner on the member FROM wants a host emptied.  */
void jb_host_handle_evacuate (struct jb_host *host, jb_time now, uint64_t from,
                              const struct jb_msg_evacuate *clear);

/* A host is on its way to POOL: look for it in time.  */
void jb_host_handle_arrival (struct jb_host *host, jb_time now,
                             const char *pool);

/* The planner gave a pool new shares.  */
void jb_host_handle_shares (struct jb_host *host, jb_time now,
                            const struct jb_msg_shares *shares);

#endif
