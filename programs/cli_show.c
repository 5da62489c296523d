#include "cli_show.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Return a table of lengths of longest common subsequences, to be released
   with g_free.  Entry I * (M + 1) + J is the length for the lines from A[I]
   on, of N lines in A, and the lines from B[J] on, of M lines in B.  */
static guint *
lcs_lengths (char **a, guint n, char **b, guint m)
{
  guint *table = g_new0 (guint, (gsize)(n + 1) * (m + 1));

  for (guint i = n; i-- > 0;)
    for (guint j = m; j-- > 0;)
      {
        guint *length = &table[i * (m + 1) + j];
        guint down = table[(i + 1) * (m + 1) + j];
        guint right = table[i * (m + 1) + j + 1];

        if (strcmp (a[i], b[j]) == 0)
          *length = table[(i + 1) * (m + 1) + j + 1] + 1;
        else
          *length = down > right ? down : right;
      }
  return table;
}

/* Print the differences between the N lines in A and the M lines in B.  */
static void
print_differences (char **a, guint n, char **b, guint m)
{
  guint *table = lcs_lengths (a, n, b, m);
  guint i = 0;
  guint j = 0;

  while (i < n || j < m)
    {
      if (i < n && j < m && strcmp (a[i], b[j]) == 0)
        {
          i++;
          j++;
        }
      else if (j == m
               || (i < n
                   && table[(i + 1) * (m + 1) + j]
                          >= table[i * (m + 1) + j + 1]))
        printf ("-%s\n", a[i++]);
      else
        printf ("+%s\n", b[j++]);
    }
  g_free (table);
}

void
cli_show_diff (const char *current, const char *desired)
{
  char **a = g_strsplit (current, "\n", -1);
  char **b = g_strsplit (desired, "\n", -1);
  guint n = g_strv_length (a);
  guint m = g_strv_length (b);
  guint prefix = 0;
  guint suffix = 0;

  /* The table has N * M entries, so the common first and last lines are left
     out.  */
  while (prefix < n && prefix < m && strcmp (a[prefix], b[prefix]) == 0)
    prefix++;
  while (suffix < n - prefix && suffix < m - prefix
         && strcmp (a[n - 1 - suffix], b[m - 1 - suffix]) == 0)
    suffix++;
  print_differences (a + prefix, n - prefix - suffix, b + prefix,
                     m - prefix - suffix);
  g_strfreev (a);
  g_strfreev (b);
}

static int
get_integer (json_t *object, const char *name)
{
  return (int)json_integer_value (json_object_get (object, name));
}

static const char *
get_string (json_t *object, const char *name)
{
  const char *value = json_string_value (json_object_get (object, name));

  return value ? value : "-";
}

static const char *
get_yes_no (json_t *object, const char *name)
{
  return json_is_true (json_object_get (object, name)) ? "yes" : "no";
}

void
cli_show_status (const char *status, bool json)
{
  json_t *root = json_loads (status, 0, NULL);
  json_t *item;
  size_t i;

  if (json)
    {
      printf ("%s\n", status);
      json_decref (root);
      return;
    }
  printf ("entry host %s in zone %s: standing %s, stopping %s\n",
          get_string (root, "name"), get_string (root, "zone"),
          get_yes_no (root, "standing"), get_yes_no (root, "stopping"));
  printf ("configuration %d (fleet %d), view %d with %d members\n",
          get_integer (root, "log_version"),
          get_integer (root, "fleet_version"),
          get_integer (root, "view_version"), get_integer (root, "members"));
  printf ("%-20s %6s %6s %8s %8s %6s\n", "team", "share", "limit", "running",
          "waiting", "held");
  json_array_foreach (json_object_get (root, "teams"), i, item)
      printf ("%-20s %6d %6d %8d %8d %6d\n", get_string (item, "name"),
              get_integer (item, "share"), get_integer (item, "limit"),
              get_integer (item, "running"), get_integer (item, "waiting"),
              get_integer (item, "held"));
  json_array_foreach (json_object_get (root, "orders"), i, item)
      printf ("order %d: %s %s %s, %d of %d hosts\n",
              get_integer (item, "order"), get_string (item, "state"),
              get_string (item, "scope"), get_string (item, "scope_name"),
              get_integer (item, "done"), get_integer (item, "total"));
  json_decref (root);
}

void
cli_show_hosts (const char *status, bool json)
{
  json_t *root = json_loads (status, 0, NULL);
  json_t *hosts = json_object_get (root, "hosts");
  json_t *item;
  size_t i;

  if (json)
    {
      json_dumpf (hosts, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else
    {
      printf ("%-20s %-16s %-9s %-5s %-8s %-8s %7s\n", "host", "pool", "state",
              "live", "leaving", "ejected", "running");
      json_array_foreach (hosts, i, item) printf (
          "%-20s %-16s %-9s %-5s %-8s %-8s %7d\n", get_string (item, "name"),
          get_string (item, "pool"), get_string (item, "state"),
          get_yes_no (item, "live"), get_yes_no (item, "leaving"),
          get_yes_no (item, "ejected"), get_integer (item, "running"));
    }
  json_decref (root);
}

void
cli_show_zones (const char *zones, bool json)
{
  json_t *root = json_loads (zones, 0, NULL);
  json_t *item;
  size_t i;

  if (json)
    printf ("%s\n", zones);
  else
    {
      printf ("%-20s %6s %8s %-9s\n", "zone", "hosts", "running", "state");
      json_array_foreach (json_object_get (root, "zones"), i, item)
          printf ("%-20s %6d %8d %-9s\n", get_string (item, "name"),
                  get_integer (item, "hosts"), get_integer (item, "running"),
                  get_string (item, "state"));
      if (get_integer (root, "entry_hosts") < get_integer (root, "members"))
        printf ("running requests of %d of %d entry hosts: the others did not "
                "answer or are not in --server\n",
                get_integer (root, "entry_hosts"),
                get_integer (root, "members"));
    }
  json_decref (root);
}
