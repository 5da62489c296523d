#ifndef CF_SETTINGS_H
#define CF_SETTINGS_H

/* Settings of one dogwoodpulleyd process, read from a YAML file.  The names of
   the members are the keys of the file.  */

#include "cf_schema.h"

struct cf_platform_settings
{
  char *table;        /* URL of the table service */
  char *object_store; /* URL of the object store */
  char *host_list;    /* URL of the list of live and leaving hosts */
  char *region;
  char *access_key;
  char *secret_key_file;
  int64_t timeout_ms; /* of one operation on the table service, object store or
                         host list; a read goes on while parts of its answer
                         arrive, each within this time of the last */
};

struct cf_log_settings
{
  int64_t format; /* enum cf_log_format */
  int64_t level;  /* enum cf_log_level */
};

enum cf_log_format
{
  CF_LOG_KEYVALUE,
  CF_LOG_JSON
};

enum cf_log_level
{
  CF_LOG_ERROR,
  CF_LOG_WARN,
  CF_LOG_INFO,
  CF_LOG_DEBUG
};

struct cf_request_settings
{
  int64_t max_body_kb;         /* largest request body */
  int64_t max_header_kb;       /* memory for request headers per connection */
  int64_t default_deadline_ms; /* of requests that do not specify one */
  int64_t max_deadline_ms;     /* longest that a request may specify */
  int64_t max_requests;        /* held at once, waiting or running */
  int64_t memory_mb; /* of the machine, of which three eighths are for
                        headers and bodies of requests */
};

struct cf_timing_settings
{
  int64_t standing_ms;  /* duration of a membership lease */
  int64_t heartbeat_ms; /* interval of heartbeats to each peer */
  int64_t poll_ms;      /* interval of reads from the table service */
  int64_t evict_ms;     /* time without a heartbeat after which a member is
                           evicted */
  int64_t lame_duck_ms; /* on shutdown: time between failing the load
                           balancer's health check and refusing requests */
};

struct cf_settings
{
  char *name;   /* of this entry host */
  char *zone;   /* availability zone of this entry host */
  char *listen; /* address to listen on for clients and the load balancer's
                   health check */
  char *admin;  /* address to listen on for operators */
  char *admin_token_file; /* file that holds the operators' token */
  char *peer;             /* address to listen on for the other entry hosts */
  char *secret_file; /* file that holds the secret shared by all entry hosts */
  char *record;      /* file to record the process's session to, for replay;
                        NULL: don't record */
  struct cf_platform_settings platform;
  struct cf_log_settings log;
  struct cf_request_settings requests;
  struct cf_timing_settings timing;
};

/* Read and check the settings in FILE.  Return new settings owned by MEM, or
   NULL with all errors found in ERROR.  */
struct cf_settings *cf_settings_load (TALLOC_CTX *mem, const char *file,
                                      GError **error);

/* As cf_settings_load, but take the contents of FILE from TEXT.  */
struct cf_settings *cf_settings_parse (TALLOC_CTX *mem, const char *file,
                                       const char *text, GError **error);

/* Read the secret in FILE.  Return it without trailing white space, owned by
   MEM, or NULL with ERROR set when FILE can't be read or is empty.  */
char *cf_settings_read_secret (TALLOC_CTX *mem, const char *file,
                               GError **error);

#endif
