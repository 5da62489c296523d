#include "cf_fleet.h"

#include "dp_test.h"

#include <string.h>

static const char valid_fleet[]
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
test_valid_fleet (void)
{
  struct cf_fleet *fleet = cf_fleet_parse (NULL, "fleet", valid_fleet, NULL);

  CU_ASSERT_PTR_NOT_NULL (fleet);
  if (fleet == NULL)
    return;
  CU_ASSERT_EQUAL (fleet->host_count, 2);
  CU_ASSERT_EQUAL (fleet->hosts[1].slots, 8);
  CU_ASSERT_EQUAL (fleet->queues[0].priority, CF_PRIORITY_ARCHIVE);
  CU_ASSERT_STRING_EQUAL (fleet->queues[0].open_team, "t");
  talloc_free (fleet);
}

/* The printed YAML must parse to a fleet that prints the same text.  */
static void
test_printed_yaml (void)
{
  struct cf_fleet *fleet = cf_fleet_parse (NULL, "fleet", valid_fleet, NULL);
  char *printed = cf_fleet_to_yaml (fleet, fleet);
  struct cf_fleet *reparsed = cf_fleet_parse (fleet, "printed", printed, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (reparsed);
  CU_ASSERT_STRING_EQUAL (printed, cf_fleet_to_yaml (fleet, reparsed));
  talloc_free (fleet);
}

/* Parse TEXT, which must fail, and return the error message, to be released
   with g_free.  */
static char *
parse_error_message (const char *text)
{
  GError *error = NULL;
  struct cf_fleet *fleet = cf_fleet_parse (NULL, "f.yaml", text, &error);
  char *message;

  CU_ASSERT_PTR_NULL_FATAL (fleet);
  message = g_strdup (error->message);
  g_error_free (error);
  return message;
}

/* A parse must not stop at the first error, so that an operator can correct
   all errors at once.  */
static void
test_all_errors_are_reported (void)
{
  char *message = parse_error_message ("name: 'bad name'\n"
                                       "pools:\n"
                                       "- {name: p, min_available: many}\n"
                                       "teams:\n"
                                       "- {name: t, limit: 10, colour: red}\n"
                                       "queues: []\n"
                                       "hosts: nothing\n");

  CU_ASSERT_PTR_NOT_NULL (strstr (message, "f.yaml:1: name: expected a name"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (message, "f.yaml:3: min_available: expected an integer from 0"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (message, "f.yaml:5: team: unknown key \"colour\""));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (message, "f.yaml:7: hosts: expected a list"));
  g_free (message);
}

/* Every value is valid by itself, but names and addresses are not unique, a
   queue and a host refer to pools and teams that don't exist, and a pool has
   fewer hosts than its availability budget.  */
static void
test_inconsistent_fleet (void)
{
  char *message = parse_error_message (
      "name: site\n"
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

  CU_ASSERT_PTR_NOT_NULL (strstr (message, "pool \"p\" is defined twice"));
  CU_ASSERT_PTR_NOT_NULL (strstr (message, "queue \"q\": no pool \"other\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (message, "queue \"q\": no team \"nobody\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (message, "host \"i\": no pool \"gone\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (message, "address 127.0.0.1:80 is taken"));
  CU_ASSERT_PTR_NOT_NULL (strstr (message, "min_available is 2"));
  g_free (message);
}

static void
test_malformed_yaml (void)
{
  char *message = parse_error_message ("name: [unclosed\n");

  CU_ASSERT_PTR_NOT_NULL (strstr (message, "not YAML"));
  g_free (message);
  message = parse_error_message ("");
  CU_ASSERT_PTR_NOT_NULL (strstr (message, "the file is empty"));
  g_free (message);
  message = parse_error_message ("name: a\nname: b\n");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (message, "f.yaml:2: fleet: key \"name\" is given twice"));
  g_free (message);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "valid fleet is parsed", test_valid_fleet },
          { "printed YAML parses to an equal fleet", test_printed_yaml },
          { "all errors are reported", test_all_errors_are_reported },
          { "inconsistent fleet is refused", test_inconsistent_fleet },
          { "malformed YAML is refused", test_malformed_yaml },
          { NULL, NULL } };

  return dp_test_main ("cf_fleet", tests);
}
