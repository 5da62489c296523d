#ifndef JB_HOST_INTERNAL_H
#define JB_HOST_INTERNAL_H

/* State of a host, shared by jb_host*.c and jb_view.c only.  */

#include "jb_catalog_fetch.h"
#include "jb_host.h"
#include "jb_planner.h"
#include "jb_pool.h"

/* A pool of the catalog, and its state while this host owns or claims its
   partition.  */
struct pool_slot
{
  char *name;
  struct jb_pool *pool;  /* NULL: neither owned nor being claimed */
  jb_time next_claim;    /* earliest time to claim it */
  jb_time next_handover; /* earliest time to hand it over */
};

/* A maintenance wave that operators requested.  Every host keeps them, because
   it may become the planner.  */
struct requested_wave
{
  jb_time seen_at; /* when this host first saw the request */
  struct jb_wave_entry entry;
};

/* A reading of everything that operators have written, page by page.  */
struct zone_reading
{
  uint64_t version; /* of the store at its first page; 0: none begun */
  char *next_page;  /* NULL: the first one */
  GArray *zones;    /* struct jb_zone_entry, found so far */
};

struct jb_host
{
  struct jb_host_options options;
  struct jb_driver *driver;
  struct jb_members *members;
  struct jb_frontend *frontend;
  const struct jb_catalog *catalog; /* NULL: none yet */
  struct jb_catalog_fetch catalog_fetch;
  GHashTable *unmoved_queues;  /* as in struct jb_pool_options */
  struct jb_zones *zones;      /* evacuated zones */
  uint64_t logged_zone_change; /* last change of a zone that was logged */
  uint64_t sent_zone_update;   /* last update of a zone that was sent */
  jb_time next_zone_message;
  GPtrArray *pools;                     /* struct pool_slot */
  struct jb_peer_doubts *peer_doubts;   /* of all pools */
  struct jb_doubt_relays *doubt_relays; /* see jb_host_doubts.c */
  GPtrArray *kept_starts;               /* see jb_host_starts.c */
  struct jb_planner *planner; /* NULL: neither owned nor being claimed */
  jb_time next_planner_claim; /* earliest time to claim its partition */
  GPtrArray *waves;           /* struct requested_wave */
  jb_time next_load_report;
  jb_time now;         /* time of the event that is being processed */
  jb_time unix_origin; /* Unix time of the driver clock's origin */
  bool stopping;
  /* While it is stopping: when the load balancer has noticed it, and by when
     all calls are answered.  */
  jb_time drained_at;
  jb_time answer_by;
  bool stopped; /* the planned stop is complete */
  /* Since when another host reaches the store and this host does not; 0: that
     is not the case.  */
  jb_time cut_off_since;
  bool heartbeat_due; /* the heartbeat's content changed: send it at once */
  /* Watch of the configuration and of maintenance requests.  */
  bool watch_in_flight;
  struct zone_reading zone_reading;
  uint64_t watched_version; /* newest version that the watch returned */
  jb_time next_watch;
  /* List of the backend servers.  */
  bool list_in_flight;
  jb_time list_requested_at; /* when its first page was requested */
  char *next_list_page;      /* NULL: the first one */
  jb_time next_list;
  jb_time frequent_lists_until; /* a host is arriving in a pool owned here */
  jb_time next_ownership_check;
  jb_time next_handover_check;
  jb_time last_handover_at; /* of a pool to a larger host; 0: never */
};

/* ---- jb_host.c ---- */

/* Return the slot of the pool NAME, borrowed, or NULL.  */
struct pool_slot *jb_host_find_slot (const struct jb_host *host,
                                     const char *name);

/* Return whether this host owns the pool of SLOT; false while it is only
   claiming it.  */
bool jb_host_slot_is_owned (const struct pool_slot *slot);

/* Return whether the store answers this host.  */
bool jb_host_can_reach_store (const struct jb_host *host, jb_time now);

/* Return the number of partitions that this host owns or is claiming.  */
uint32_t jb_host_ownership_count (const struct jb_host *host);

/* ---- jb_host_doubts.c ---- */

/* Keep the starts in doubt that MESSAGE lists, which arrived at ARRIVED_AT. */
void jb_host_keep_doubts (struct jb_host *host, jb_time arrived_at,
                          const struct jb_msg_doubts *message);

/* The same, and let the pool know if this host owns it.  */
void jb_host_handle_doubts (struct jb_host *host, jb_time now,
                            jb_time arrived_at,
                            const struct jb_msg_doubts *message);

/* ---- jb_host_starts.c ---- */

/* Keep the list STARTS of the member FROM, or if it is for a pool that this
   host owns, pass it to the pool.  */
void jb_host_handle_starts (struct jb_host *host, jb_time now, uint64_t from,
                            const struct jb_msg_starts *starts);
/* Send the new owner FROM what is kept of former owners.  */
void jb_host_handle_starts_query (struct jb_host *host, jb_time now,
                                  uint64_t from,
                                  const struct jb_msg_starts *query);
/* The member FROM has replied to a query for the starts of former owners.  */
void jb_host_handle_starts_left (struct jb_host *host, jb_time now,
                                 uint64_t from,
                                 const struct jb_msg_starts_left *left);
/* The witness FROM keeps a list.  */
void jb_host_handle_starts_kept (struct jb_host *host, jb_time now,
                                 uint64_t from,
                                 const struct jb_msg_starts *kept);
/* choose_witness, tell_starts and query_starts of struct jb_pool_options.  */
uint64_t jb_host_choose_witness (void *data, jb_time now, const char *pool,
                                 const char **name);
void jb_host_tell_starts (void *data, uint64_t witness,
                          const struct jb_msg_starts *starts);
void jb_host_query_starts (void *data, jb_time now, const char *pool,
                           uint32_t generation, uint64_t witness);

/* ---- jb_host_doubts.c ---- */

/* Send DOUBTS to all members, and keep them.  DATA is this host.  */
void jb_host_send_doubts (void *data, jb_time now,
                          const struct jb_msg_doubts *doubts);

struct jb_doubt_relays *jb_doubt_relays_new (TALLOC_CTX *mem);

/* If this host is a coordinator, queue what it keeps, and was not sent yet,
   for the member with incarnation TO, which was not alive, or has just started
   if IS_NEW.  */
void jb_host_relay_doubts (struct jb_host *host, uint64_t to, bool is_new);

/* The member with the incarnation FROM, which was alive all the time, has
   received a heartbeat of this host at HEARD_AT.  */
void jb_host_confirm_doubts (struct jb_host *host, uint64_t from,
                             jb_time heard_at);

/* Send the next portion of what is queued, if it is time to.  Return when to
   call this next, or JB_NEVER.  */
jb_time jb_host_run_relays (struct jb_host *host, jb_time now);

/* ---- jb_host_zones.c ---- */

/* Begin, go on with or end the reading of the zones with REPLY, a page of what
   operators have written.  Return true if it was the last page.  */
bool jb_host_read_zones (struct jb_host *host, jb_time now,
                         const struct jb_reply *reply);

/* Return how many tasks of the pools that this host owns run in ZONE.  */
struct jb_pool_zone_runs jb_host_count_zone_runs (const struct jb_host *host,
                                                  const char *zone);

/* Forget a reading that has failed.  */
void jb_host_cancel_zone_reading (struct jb_host *host);

/* Apply the changes of zones in REPLY, which shows all changes up to
   VERSION.  */
void jb_host_watch_zones (struct jb_host *host, jb_time now,
                          const struct jb_reply *reply, uint64_t version);

/* Apply the message ZONES of a coordinator.  */
void jb_host_handle_zones (struct jb_host *host, jb_time now,
                           const struct jb_msg_zones *zones);

/* If this host is a coordinator, send the zones to all members when they have
   changed, and at intervals while there are any.  */
void jb_host_send_zones (struct jb_host *host, jb_time now);

/* ---- jb_host_planner.c ---- */

/* Claim, confirm or release the planner's partition, as needed.
   UNCLAIMED_UNTIL is as for jb_planner_confirm_ownership.  */
void jb_host_check_planner_ownership (struct jb_host *host, jb_time now,
                                      jb_time unclaimed_until);

/* Report to the planner what the organisations use of the pools that this host
   owns, if that is due.  */
void jb_host_send_usages (struct jb_host *host, jb_time now);

/* Report to the planner the load of the pools that this host owns, if that is
   due.  */
void jb_host_send_loads (struct jb_host *host, jb_time now);

/* Process the request EVACUATE of the planner, which runs on the member with
   incarnation FROM, and reply to it.  */
void jb_host_handle_evacuate (struct jb_host *host, jb_time now, uint64_t from,
                              const struct jb_msg_evacuate *evacuate);

/* Tell the planner that the backend server INSTANCE of POOL is evacuated.
   DATA is this host.  */
void jb_host_report_evacuated (void *data, jb_time now, struct jb_pool *pool,
                               const char *instance);

/* Process the planner's message that a host is moving to POOL: if this entry
   host owns the pool, list the backend servers frequently until the moving
   host has arrived.  */
void jb_host_handle_arrival (struct jb_host *host, jb_time now,
                             const char *pool);

/* Process the planner's quota shares of a pool.  They are ignored if this host
   does not own the pool.  */
void jb_host_handle_shares (struct jb_host *host, jb_time now,
                            const struct jb_msg_shares *shares);

#endif
