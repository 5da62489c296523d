#ifndef JB_HOST_INTERNAL_H
#define JB_HOST_INTERNAL_H

/* State of a host, shared by jb_host*.c and jb_view.c only.  */

#include "jb_host.h"
#include "jb_planner.h"
#include "jb_pool.h"

/* A pool of the catalog, and its state while this host owns or claims it.  */
struct pool_slot
{
  char *name;
  struct jb_pool *pool; /* NULL: neither owned nor being claimed */
  jb_time next_claim;   /* it is not claimed before this time */
};

/* A maintenance wave that operators requested.  */
struct requested_wave
{
  jb_time seen_at; /* when this host first saw it */
  struct jb_wave_entry entry;
};

struct jb_host
{
  struct jb_host_options options;
  struct jb_driver *driver;
  struct jb_members *members;
  struct jb_frontend *frontend;
  const struct jb_catalog *catalog; /* NULL: none yet */
  jb_time catalog_applied_at;
  jb_time catalog_sent_at;    /* to members with an older one */
  GPtrArray *pools;           /* struct pool_slot */
  struct jb_planner *planner; /* NULL: neither owned nor being claimed */
  jb_time next_planner_claim; /* it is not claimed before this time */
  GPtrArray *waves;           /* struct requested_wave */
  jb_time next_load_report;
  jb_time now;         /* time of the event that is being processed */
  jb_time unix_origin; /* Unix time of the driver clock's origin */
  bool stopping;
  jb_time cut_off_since; /* since when others reach the store and this host
                            does not; 0: not so */
  bool heartbeat_due;    /* something changed that peers should know */
  /* watch of the configuration and of maintenance requests */
  bool watch_in_flight;
  uint64_t watched_version;
  jb_time next_watch;
  /* backend servers */
  bool list_in_flight;
  jb_time next_list;
  jb_time frequent_lists_until;
  jb_time next_ownership_check;
};

/* ---- jb_host.c ---- */

/* Return the slot of the pool NAME, borrowed, or NULL.  */
struct pool_slot *jb_host_find_slot (const struct jb_host *host,
                                     const char *name);

/* Return whether this host owns the pool of SLOT, not only claims it.  */
bool jb_host_slot_is_owned (const struct pool_slot *slot);

/* Return whether the store answers this host.  */
bool jb_host_can_reach_store (const struct jb_host *host, jb_time now);

/* Return the number of partitions owned or being claimed.  */
uint32_t jb_host_ownership_count (const struct jb_host *host);

/* ---- jb_host_planner.c ---- */

/* Claim, confirm or release the planner's partition.  LAST_HEARD is when a
   peer last received a heartbeat of this host, if the store does not answer
   this host, else 0.  */
void jb_host_check_planner_ownership (struct jb_host *host, jb_time now,
                                      jb_time last_heard);

/* Report to the planner what organisations use of the pools owned here.  */
void jb_host_send_usages (struct jb_host *host, jb_time now);

/* Report to the planner the load of the pools owned here.  */
void jb_host_send_loads (struct jb_host *host, jb_time now);

/* Process a request of the planner on the member with incarnation FROM to
   evacuate a host.  */
void jb_host_handle_evacuate (struct jb_host *host, jb_time now, uint64_t from,
                              const struct jb_msg_evacuate *evacuate);

/* A host is moving to POOL: if this host owns the pool, list the backend
   servers frequently until the host has arrived.  */
void jb_host_handle_arrival (struct jb_host *host, jb_time now,
                             const char *pool);

/* Process new quota shares of a pool from the planner.  */
void jb_host_handle_shares (struct jb_host *host, jb_time now,
                            const struct jb_msg_shares *shares);

#endif
