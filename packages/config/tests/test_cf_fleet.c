#include "cf_fleet.h"

#include "dp_test.h"

#include <string.h>

static const char good[]
    = "name: site\n"
      "pools:\n"
      "- {name: p, min_available: 1}\n"
      "teams:\n"
      "- {name: t, share: 3, limit: 10}\n"
      "queues:\n"
      "- {name: q, pool: p, open_team: t, priority: archive}\n"
      "hosts:\n"
      "- {name: h1, address: 127.0.0.1:80, zone: a, rack: r, pool: p}\n"
      "- {name: h2, address: 127.0.0.2:80, zone: a, rack: r, pool: p}\n";

static void
test_parse (void)
{
  struct cf_fleet *f = cf_fleet_parse (NULL, "good", good, NULL);

  CU_ASSERT_PTR_NOT_NULL (f);
  if (f == NULL)
    return;
  CU_ASSERT_EQUAL (f->host_count, 2);
  CU_ASSERT_EQUAL (f->hosts[1].slots, 8);
  CU_ASSERT_EQUAL (f->queues[0].priority, CF_PRIORITY_ARCHIVE);
  CU_ASSERT_STRING_EQUAL (f->queues[0].open_team, "t");
  talloc_free (f);
}

static void
test_print_is_canonical (void)
{
  struct cf_fleet *f = cf_fleet_parse (NULL, "good", good, NULL);
  char *once = cf_fleet_to_yaml (f, f);
  struct cf_fleet *g = cf_fleet_parse (f, "once", once, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (g);
  CU_ASSERT_STRING_EQUAL (once, cf_fleet_to_yaml (f, g));
  talloc_free (f);
}

/* Return the message for TEXT, which must be refused.  */
static char *
refusal (const char *text)
{
  GError *error = NULL;
  struct cf_fleet *f = cf_fleet_parse (NULL, "f.yaml", text, &error);
  char *message;

  CU_ASSERT_PTR_NULL_FATAL (f);
  message = g_strdup (error->message);
  g_error_free (error);
  return message;
}

static void
test_all_errors_are_reported (void)
{
  char *m = refusal ("name: 'bad name'\n"
                     "pools:\n"
                     "- {name: p, min_available: many}\n"
                     "teams:\n"
                     "- {name: t, limit: 10, colour: red}\n"
                     "queues: []\n"
                     "hosts: nothing\n");

  CU_ASSERT_PTR_NOT_NULL (strstr (m, "f.yaml:1: name: expected a name"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (m, "f.yaml:3: min_available: expected an integer from 0"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (m, "f.yaml:5: team: unknown key \"colour\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "f.yaml:7: hosts: expected a list"));
  g_free (m);
}

static void
test_references (void)
{
  char *m = refusal ("name: site\n"
                     "pools:\n"
                     "- {name: p, min_available: 2}\n"
                     "- {name: p}\n"
                     "teams: []\n"
                     "queues:\n"
                     "- {name: q, pool: other, open_team: nobody}\n"
                     "hosts:\n"
                     "- {name: h, address: 127.0.0.1:80, zone: a, rack: r,"
                     " pool: p}\n"
                     "- {name: i, address: 127.0.0.1:80, zone: a, rack: r,"
                     " pool: gone}\n");

  CU_ASSERT_PTR_NOT_NULL (strstr (m, "pool \"p\" is defined twice"));
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "queue \"q\": no pool \"other\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "queue \"q\": no team \"nobody\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "host \"i\": no pool \"gone\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "address 127.0.0.1:80 is taken"));
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "min_available is 2"));
  g_free (m);
}

static void
test_not_yaml (void)
{
  char *m = refusal ("name: [unclosed\n");

  CU_ASSERT_PTR_NOT_NULL (strstr (m, "not YAML"));
  g_free (m);
  m = refusal ("");
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "the file is empty"));
  g_free (m);
  m = refusal ("name: a\nname: b\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (m, "f.yaml:2: fleet: key \"name\" twice"));
  g_free (m);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "parse", test_parse },
          { "print is canonical", test_print_is_canonical },
          { "all errors are reported", test_all_errors_are_reported },
          { "references", test_references },
          { "not YAML", test_not_yaml },
          { NULL, NULL } };

  return dp_test_main ("cf_fleet", tests);
}
