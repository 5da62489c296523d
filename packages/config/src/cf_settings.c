#include "cf_settings.h"

#include <string.h>

static const char *const format_choices[] = { "keyvalue", "json", NULL };
static const char *const level_choices[]
    = { "error", "warn", "info", "debug", NULL };

/* The YAML key of a field is the name of its member.  */
#define FIELD(type, member) .key = #member, .offset = offsetof (type, member)
#define INTEGER(min_value, max_value, default_integer)                        \
  .type = CF_TYPE_INTEGER, .min = (min_value), .max = (max_value),            \
  .default_value = (default_integer)

static const struct cf_field platform_fields[] = {
  { FIELD (struct cf_platform_settings, table), .type = CF_TYPE_STRING,
    .required = true },
  { FIELD (struct cf_platform_settings, object_store), .type = CF_TYPE_STRING,
    .required = true },
  { FIELD (struct cf_platform_settings, host_list), .type = CF_TYPE_STRING,
    .required = true },
  { FIELD (struct cf_platform_settings, region), .type = CF_TYPE_NAME,
    .default_string = "local" },
  { FIELD (struct cf_platform_settings, access_key), .type = CF_TYPE_STRING,
    .required = true },
  { FIELD (struct cf_platform_settings, secret_key_file),
    .type = CF_TYPE_STRING, .required = true },
  { FIELD (struct cf_platform_settings, timeout_ms),
    INTEGER (50, 60000, 1000) },
};

static const struct cf_field log_fields[] = {
  { FIELD (struct cf_log_settings, format), .type = CF_TYPE_CHOICE,
    .choices = format_choices },
  { FIELD (struct cf_log_settings, level), .type = CF_TYPE_CHOICE,
    .choices = level_choices, .default_value = CF_LOG_INFO },
};

static const struct cf_field request_fields[] = {
  { FIELD (struct cf_request_settings, max_body_kb),
    INTEGER (1, 65536, 1024) },
  { FIELD (struct cf_request_settings, max_header_kb), INTEGER (4, 1024, 32) },
  { FIELD (struct cf_request_settings, default_deadline_ms),
    INTEGER (10, 3600000, 10000) },
  { FIELD (struct cf_request_settings, max_deadline_ms),
    INTEGER (10, 3600000, 30000) },
  { FIELD (struct cf_request_settings, max_requests),
    INTEGER (16, 65536, 4096) },
  { FIELD (struct cf_request_settings, memory_mb),
    INTEGER (64, 1048576, 512) },
};

static const struct cf_field timing_fields[] = {
  { FIELD (struct cf_timing_settings, standing_ms),
    INTEGER (200, 60000, 3000) },
  { FIELD (struct cf_timing_settings, heartbeat_ms),
    INTEGER (20, 10000, 200) },
  { FIELD (struct cf_timing_settings, poll_ms), INTEGER (20, 10000, 500) },
  { FIELD (struct cf_timing_settings, evict_ms), INTEGER (200, 60000, 4000) },
  { FIELD (struct cf_timing_settings, lame_duck_ms),
    INTEGER (0, 60000, 2000) },
};

#define SCHEMA(noun, type, table)                                             \
  {                                                                           \
    noun, sizeof (type), table, sizeof (table) / sizeof (table)[0]            \
  }

static const struct cf_schema platform_schema
    = SCHEMA ("platform", struct cf_platform_settings, platform_fields);
static const struct cf_schema log_schema
    = SCHEMA ("log", struct cf_log_settings, log_fields);
static const struct cf_schema request_schema
    = SCHEMA ("requests", struct cf_request_settings, request_fields);
static const struct cf_schema timing_schema
    = SCHEMA ("timing", struct cf_timing_settings, timing_fields);

static const struct cf_field settings_fields[] = {
  { FIELD (struct cf_settings, name), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_settings, zone), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_settings, listen), .type = CF_TYPE_ADDRESS,
    .required = true },
  { FIELD (struct cf_settings, admin), .type = CF_TYPE_ADDRESS,
    .required = true },
  { FIELD (struct cf_settings, admin_token_file), .type = CF_TYPE_STRING,
    .required = true },
  { FIELD (struct cf_settings, peer), .type = CF_TYPE_ADDRESS,
    .required = true },
  { FIELD (struct cf_settings, secret_file), .type = CF_TYPE_STRING,
    .required = true },
  { FIELD (struct cf_settings, record), .type = CF_TYPE_STRING },
  { FIELD (struct cf_settings, platform), .type = CF_TYPE_MAPPING,
    .required = true, .schema = &platform_schema },
  { FIELD (struct cf_settings, log), .type = CF_TYPE_MAPPING,
    .schema = &log_schema },
  { FIELD (struct cf_settings, requests), .type = CF_TYPE_MAPPING,
    .schema = &request_schema },
  { FIELD (struct cf_settings, timing), .type = CF_TYPE_MAPPING,
    .schema = &timing_schema },
};

static const struct cf_schema settings_schema
    = SCHEMA ("settings", struct cf_settings, settings_fields);

/* Report settings that contradict each other.  */
static void
check_settings (const struct cf_settings *s, struct cf_errors *errors)
{
  if (s->requests.default_deadline_ms > s->requests.max_deadline_ms)
    cf_errors_add (errors, 0,
                   "requests: default_deadline_ms exceeds "
                   "max_deadline_ms");
  if (s->timing.heartbeat_ms * 3 > s->timing.standing_ms)
    cf_errors_add (errors, 0,
                   "timing: standing_ms must be at least three "
                   "times heartbeat_ms");
  if (s->timing.poll_ms * 3 > s->timing.standing_ms)
    cf_errors_add (errors, 0,
                   "timing: standing_ms must be at least three "
                   "times poll_ms");
}

struct cf_settings *
cf_settings_parse (TALLOC_CTX *mem, const char *file, const char *text,
                   GError **error)
{
  struct cf_settings *settings = talloc_zero (mem, struct cf_settings);
  struct cf_errors errors = { file, NULL, 0 };

  cf_schema_decode (settings, text, &settings_schema, settings, &errors);
  if (errors.count == 0)
    check_settings (settings, &errors);
  if (cf_errors_finish (&errors, error))
    return settings;
  talloc_free (settings);
  return NULL;
}

struct cf_settings *
cf_settings_load (TALLOC_CTX *mem, const char *file, GError **error)
{
  struct cf_settings *settings;
  char *text;

  if (!g_file_get_contents (file, &text, NULL, error))
    return NULL;
  settings = cf_settings_parse (mem, file, text, error);
  g_free (text);
  return settings;
}

char *
cf_settings_read_secret (TALLOC_CTX *mem, const char *file, GError **error)
{
  char *text;
  char *secret;

  if (!g_file_get_contents (file, &text, NULL, error))
    return NULL;
  g_strchomp (text);
  secret = talloc_strdup (mem, text);
  g_free (text);
  if (*secret != '\0')
    return secret;
  talloc_free (secret);
  g_set_error (error, BA_ERROR, BA_ERROR_VALUE, "%s: the secret is empty",
               file);
  return NULL;
}
