#include "cf_settings.h"

#include "dp_test.h"

#include <string.h>

/* The required keys only, on 13 lines.  */
static const char minimal_settings[] = "name: e\n"
                                       "zone: a\n"
                                       "listen: 127.0.0.1:8080\n"
                                       "admin: 127.0.0.1:8081\n"
                                       "peer: 127.0.0.1:7000\n"
                                       "admin_token_file: t\n"
                                       "secret_file: s\n"
                                       "platform:\n"
                                       "  table: http://t\n"
                                       "  object_store: http://o\n"
                                       "  host_list: http://h\n"
                                       "  access_key: k\n"
                                       "  secret_key_file: f\n";

static void
test_defaults (void)
{
  struct cf_settings *settings
      = cf_settings_parse (NULL, "s", minimal_settings, NULL);

  CU_ASSERT_PTR_NOT_NULL (settings);
  if (settings == NULL)
    return;
  CU_ASSERT_EQUAL (settings->timing.standing_ms, 3000);
  CU_ASSERT_EQUAL (settings->requests.max_body_kb, 1024);
  CU_ASSERT_EQUAL (settings->log.level, CF_LOG_INFO);
  CU_ASSERT_STRING_EQUAL (settings->platform.region, "local");
  CU_ASSERT_PTR_NULL (settings->record);
  talloc_free (settings);
}

static void
test_invalid_settings (void)
{
  char *text = g_strconcat (minimal_settings,
                            "timing: {standing_ms: 300}\n"
                            "log: {level: loud}\n"
                            "surprise: 1\n",
                            NULL);
  GError *error = NULL;

  CU_ASSERT_PTR_NULL (cf_settings_parse (NULL, "s", text, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      error->message, "s:15: level: expected one of error warn info debug"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (error->message, "s:16: settings: unknown key \"surprise\""));
  g_clear_error (&error);
  g_free (text);
  /* Relations between settings are checked only if all values are valid.  */
  text = g_strconcat (minimal_settings, "timing: {standing_ms: 300}\n", NULL);
  CU_ASSERT_PTR_NULL (cf_settings_parse (NULL, "s", text, &error));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "three times heartbeat_ms"));
  g_clear_error (&error);
  g_free (text);
}

static void
test_missing_keys (void)
{
  GError *error = NULL;

  CU_ASSERT_PTR_NULL (cf_settings_parse (NULL, "s", "name: e\n", &error));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (error->message, "settings: key \"listen\" is missing"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (error->message, "settings: key \"platform\" is missing"));
  g_clear_error (&error);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "missing optional keys have defaults", test_defaults },
          { "invalid settings are refused", test_invalid_settings },
          { "missing required keys are reported", test_missing_keys },
          { NULL, NULL } };

  return dp_test_main ("cf_settings", tests);
}
