#ifndef DOGWOODPULLEY_H
#define DOGWOODPULLEY_H

/* Operators' library: build a fleet configuration in C, print it, apply it to
   a running system and operate that system.

   The system enforces exactly the text that dp_fleet_print returned and
   dp_client_apply applied: dp_client_fleet returns the same text.

   String arguments are copied.  The caller releases returned strings with
   free(), unless they are documented as borrowed.  Errors are reported as
   GErrors, whose message says where the error is and what caused it.  A
   dp_fleet or dp_client must not be used by several threads at once.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* ---- configuration ---- */

  typedef struct dp_fleet dp_fleet;

  struct dp_pool
  {
    const char *name;
    int64_t min_available; /* availability budget: number of hosts that must
                              stay in use */
    bool spare;            /* its hosts may be lent to other pools */
  };

  struct dp_team
  {
    const char *name;
    int64_t share; /* weight of the team while the fleet is full; 0 means 1 */
    int64_t limit; /* maximum number of running requests in the whole fleet */
  };

  struct dp_queue
  {
    const char *name;
    const char *pool;
    const char *open_team; /* team to which requests without an API key are
                              charged; NULL: such requests are refused */
    bool archive; /* default priority of its requests: archive instead of
                     urgent */
    int64_t max_waiting; /* waiting requests per entry host that the teams
                            divide by their shares; at most twice as many may
                            wait; 0 means 500 */
  };

  struct dp_host
  {
    const char *name;
    const char *address; /* IPv4 address and port of its backend server */
    const char *zone;
    const char *rack;
    const char *pool;  /* initial pool; the host may be moved later */
    int64_t cores;     /* 0 means 1 */
    int64_t memory_mb; /* 0 means 1024 */
    int64_t accelerators;
    int64_t slots; /* maximum number of concurrently running requests; 0 means
                      8 */
  };

  /* Return a new empty fleet called NAME, to be released with
     dp_fleet_free.  */
  dp_fleet *dp_fleet_new (const char *name);
  void dp_fleet_free (dp_fleet *fleet);

  /* Add an element to FLEET.  It is not checked before dp_fleet_print.  */
  void dp_fleet_add_pool (dp_fleet *fleet, const struct dp_pool *pool);
  void dp_fleet_add_team (dp_fleet *fleet, const struct dp_team *team);
  void dp_fleet_add_queue (dp_fleet *fleet, const struct dp_queue *queue);
  void dp_fleet_add_host (dp_fleet *fleet, const struct dp_host *host);

  /* Read and check a fleet in a YAML file.  Return a new fleet, to be released
     with dp_fleet_free, or NULL with all errors found in ERROR: one per line,
     with file, line, key and what was expected.  */
  dp_fleet *dp_fleet_load (const char *file, GError **error);

  /* Check FLEET and return it as canonical YAML text, or NULL with all errors
     found in ERROR.  */
  char *dp_fleet_print (const dp_fleet *fleet, GError **error);

  /* ---- operation of a running system ---- */

  typedef struct dp_client dp_client;

  /* Outcome of a change.  */
  enum dp_result
  {
    DP_OK,       /* committed and in effect */
    DP_INVALID,  /* refused; the message says why */
    DP_CONFLICT, /* another change came first: the base version, or the state
                    that the change was made from, is no longer current */
    DP_UNREACHABLE, /* no entry host or platform service could be reached;
                       nothing was changed */
    DP_UNKNOWN,     /* not confirmed; repeat the change with the same token */
    DP_PENDING      /* committed, but not yet acknowledged by a majority of the
                       entry hosts */
  };

  /* Return a new client, to be released with dp_client_free.  SERVERS holds
     the admin URLs of the entry hosts, with commas between them.  TOKEN is the
     operators' token, which authorizes the requests.  */
  dp_client *dp_client_new (const char *servers, const char *token);
  void dp_client_free (dp_client *client);

  /* Use TOKEN to identify the next change, instead of a random token.  A
     change is applied once for each token, so one whose outcome is unknown can
     be repeated with the same token.  */
  void dp_client_set_change_token (dp_client *client, const char *token);

  /* Return the token of the last change, or NULL if there was none.  Borrowed
     until the next change.  */
  const char *dp_client_change_token (const dp_client *client);

  /* The functions that make a change return its outcome, and set ERROR unless
     the outcome is DP_OK.  */

  /* Make the YAML in TEXT the fleet configuration.  Fail with DP_CONFLICT if
     BASE is neither 0 nor the version of the current configuration.  Unless
     VERSION is NULL, set it to the new version.  */
  enum dp_result dp_client_apply (dp_client *client, const char *text,
                                  uint64_t base, uint64_t *version,
                                  GError **error);
  /* Start no more requests on HOST, and take it out of use once the running
     requests have ended.  */
  enum dp_result dp_client_drain (dp_client *client, const char *host,
                                  GError **error);
  /* Put HOST back into use, or end its move to another pool.  */
  enum dp_result dp_client_activate (dp_client *client, const char *host,
                                     GError **error);
  /* Start no more requests on HOST, and move it to POOL once the running
     requests have ended.  */
  enum dp_result dp_client_move (dp_client *client, const char *host,
                                 const char *pool, GError **error);
  /* Create a maintenance order for all hosts of the pool, rack or zone called
     NAME, where SCOPE is "pool", "rack" or "zone".  Unless ORDER is NULL, set
     it to the number of the order.  */
  enum dp_result dp_client_maintain (dp_client *client, const char *scope,
                                     const char *name, uint64_t *order,
                                     GError **error);
  /* Set the state of a maintenance order.  STATE is "running", "paused" or
     "cancelled".  */
  enum dp_result dp_client_order (dp_client *client, uint64_t order,
                                  const char *state, GError **error);
  /* Start no more requests on the hosts of the availability zone ZONE, until
     it is restored.  Running requests end by themselves.  A zone may be
     ordered again to the state that it has.  A zone that no host is in is
     DP_INVALID.  */
  enum dp_result dp_client_evacuate (dp_client *client, const char *zone,
                                     GError **error);
  enum dp_result dp_client_restore (dp_client *client, const char *zone,
                                    GError **error);
  /* Grant a new random API key to TEAM.  Set KEY to it, to be released with
     free(), or to NULL if it was not granted.  KEY is also set after
     DP_UNKNOWN, because the key may have been granted.  The system stores only
     the digest of the key.  */
  enum dp_result dp_client_grant_key (dp_client *client, const char *team,
                                      char **key, GError **error);
  /* Withdraw the API key KEY, which may also be given as "sha256:DIGEST".  */
  enum dp_result dp_client_withdraw_key (dp_client *client, const char *key,
                                         GError **error);

  /* Return the status of the first entry host that responds, as JSON text, or
     NULL with ERROR set.  */
  char *dp_client_status (dp_client *client, GError **error);

  /* Return the availability zones as JSON text, or NULL with ERROR set if no
     entry host responds.  Its member "zones" lists name, hosts, running and
     state ("in-use" or "evacuated") of each zone, by the first entry host that
     responds, except that running is the sum over all that respond.  Their
     number is the member "entry_hosts"; "members" is the number of entry hosts
     in the fleet.  */
  char *dp_client_zones (dp_client *client, GError **error);

  /* Return the current fleet configuration as YAML text, or NULL with ERROR
     set.  Unless VERSION is NULL, set it to the version of the configuration,
     to be passed to dp_client_apply as BASE.  */
  char *dp_client_fleet (dp_client *client, uint64_t *version, GError **error);

  /* Return the metrics of the first entry host that responds, in the
     Prometheus text exposition format, or NULL with ERROR set.  */
  char *dp_client_counters (dp_client *client, GError **error);

#ifdef __cplusplus
}
#endif

#endif
