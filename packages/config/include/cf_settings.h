#ifndef CF_SETTINGS_H
#define CF_SETTINGS_H

/* Settings of one dogwoodpulleyd process, read from a YAML file.  */

#include "cf_schema.h"

struct cf_platform_settings
{
  char *table;        /* URL of the table service */
  char *object_store; /* URL of the object store */
  char *host_list;    /* URL of the list of live and leaving hosts */
  char *region;
  char *access_key;
  char *secret_key_file;
  int64_t timeout_ms; /* of one operation */
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
  int64_t max_header_kb;       /* memory for one caller's headers */
  int64_t default_deadline_ms; /* of requests that name none */
  int64_t max_deadline_ms;     /* longest that a caller may ask for */
  int64_t max_requests;        /* held by this process at once */
};

struct cf_timing_settings
{
  int64_t standing_ms;  /* how long one proof of membership lasts */
  int64_t heartbeat_ms; /* between heartbeats to each peer */
  int64_t poll_ms;      /* between reads of the table service */
  int64_t evict_ms;     /* silence after which a member is taken out */
  int64_t lame_duck_ms; /* between failing the balancer check and refusing */
};

struct cf_settings
{
  char *name;             /* of this entry host */
  char *zone;             /* availability zone */
  char *listen;           /* address for callers and the balancer check */
  char *admin;            /* address for operators */
  char *admin_token_file; /* file with the operators' token */
  char *peer;             /* address for the other entry hosts */
  char *secret_file;      /* file with the secret shared by the entry hosts */
  char *record;           /* file for the recorded session, or NULL */
  struct cf_platform_settings platform;
  struct cf_log_settings log;
  struct cf_request_settings requests;
  struct cf_timing_settings timing;
};

/* Read and check the settings in FILE.  Return new settings owned by MEM, or
   NULL with every error found in ERROR.  */
struct cf_settings *cf_settings_load (TALLOC_CTX *mem, const char *file,
                                      GError **error);

/* As cf_settings_load, for a text already read; FILE names it.  */
struct cf_settings *cf_settings_parse (TALLOC_CTX *mem, const char *file,
                                       const char *text, GError **error);

/* Read a file that holds one secret line.  Return it without the line end,
   owned by MEM, or NULL with ERROR set.  */
char *cf_settings_read_secret (TALLOC_CTX *mem, const char *file,
                               GError **error);

#endif
