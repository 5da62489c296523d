/* The simulated store: versioned rows, transactions that are conditional on
   row versions, the operators' catalog and maintenance wave, and the list of
   backend servers.  */

#include "jw_world.h"

#include <stdio.h>
#include <string.h>

enum
{
  MAX_ROWS_PER_READ = 50,
  BACKENDS_PER_PAGE = 5, /* few, so that all lists have several pages */
  MAX_TRANSACTION_BYTES = 750000, /* 1 MB as base64 */
  MAX_TRANSACTION_ROWS = 100,
  MSGPACK_FIXSTR = 0xa0 /* type of a short string; its length is added */
};

/* Where the second page of what operators have written starts.  */
#define FIRST_ZONE_KEY "evacuate/"

/* How long the entry of a backend server remains after its end.  */
#define ENTRY_LIFETIME (4500 * JB_MS)

struct jw_row
{
  char *table;
  char *partition;
  char *key;
  uint64_t version;
  struct ba_bytes value;
};

void
jw_store_init (struct jw_world *world)
{
  world->rows = g_ptr_array_new ();
  world->version = 1;
  world->catalog_version = ++world->version;
}

static int
compare_names (const struct jw_row *a, const struct jb_row *b)
{
  int order = strcmp (a->table, b->table);

  if (order == 0)
    order = strcmp (a->partition, b->partition);
  return order != 0 ? order : strcmp (a->key, b->key);
}

/* Set AT to the index of ROW, or to the index at which to insert it.  Return
   whether it exists.  */
static bool
find_row (const struct jw_world *world, const struct jb_row *row, guint *at)
{
  guint low = 0;
  guint high = world->rows->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      int order = compare_names (g_ptr_array_index (world->rows, middle), row);

      if (order == 0)
        {
          *at = middle;
          return true;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *at = low;
  return false;
}

static void
append_row (struct jb_reply *reply, const struct jw_row *row)
{
  reply->rows = talloc_realloc (reply->mem, reply->rows, struct jb_row,
                                reply->row_count + 1);
  reply->rows[reply->row_count++] = (struct jb_row){
    .table = talloc_strdup (reply->mem, row->table),
    .partition = talloc_strdup (reply->mem, row->partition),
    .key = talloc_strdup (reply->mem, row->key),
    .version = row->version,
    .value = ba_bytes_copy (reply->mem, row->value.data, row->value.len)
  };
}

/* Return whether WRITE keeps the store's limits on the size of a row, and on
   the number of rows and bytes of a transaction.  */
static bool
keeps_limits (const struct jb_command_write *write)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < write->set_count; i++)
    {
      if (write->set_rows[i].value.len > JW_MAX_ROW_BYTES)
        return false;
      bytes += write->set_rows[i].value.len;
    }
  return bytes <= MAX_TRANSACTION_BYTES
         && write->expected_count + write->set_count + write->removed_count
                <= MAX_TRANSACTION_ROWS;
}

/* Return whether WRITE sets the row that the test has the store refuse.  */
static bool
sets_refused_row (const struct jw_world *world,
                  const struct jb_command_write *write)
{
  for (uint32_t i = 0; i < write->set_count; i++)
    if (world->refused_key != NULL
        && strcmp (write->set_rows[i].key, world->refused_key) == 0)
      return true;
  return false;
}

/* Carry out the write if all rows have the expected versions.  Otherwise the
   result is JB_RESULT_CONFLICT, with the current versions of these rows.  */
static void
write_rows (struct jw_world *world, const struct jb_command_write *write,
            struct jb_reply *reply)
{
  guint at;

  if (sets_refused_row (world, write))
    {
      world->refused_writes++;
      reply->result = JB_RESULT_INVALID;
      return;
    }

  if (!keeps_limits (write))
    {
      jw_report_violation (world, "SIZE", "a transaction is too large");
      reply->result = JB_RESULT_INVALID;
      return;
    }
  for (uint32_t i = 0; i < write->expected_count; i++)
    {
      const struct jb_row *row = &write->expected_rows[i];
      bool found = find_row (world, row, &at);
      uint64_t version
          = found ? ((struct jw_row *)g_ptr_array_index (world->rows, at))
                        ->version
                  : 0;

      if (version != row->version)
        reply->result = JB_RESULT_CONFLICT;
    }
  if (reply->result == JB_RESULT_CONFLICT)
    {
      for (uint32_t i = 0; i < write->expected_count; i++)
        if (find_row (world, &write->expected_rows[i], &at))
          append_row (reply, g_ptr_array_index (world->rows, at));
      return;
    }
  reply->version = ++world->version;
  for (uint32_t i = 0; i < write->set_count; i++)
    {
      const struct jb_row *from = &write->set_rows[i];
      struct jw_row *row;

      if (find_row (world, from, &at))
        {
          row = g_ptr_array_index (world->rows, at);
          talloc_free (row->value.data);
        }
      else
        {
          row = talloc_zero (world, struct jw_row);
          row->table = talloc_strdup (row, from->table);
          row->partition = talloc_strdup (row, from->partition);
          row->key = talloc_strdup (row, from->key);
          g_ptr_array_insert (world->rows, (gint)at, row);
        }
      row->value = ba_bytes_copy (row, from->value.data, from->value.len);
      row->version = reply->version;
    }
  for (uint32_t i = 0; i < write->removed_count; i++)
    if (find_row (world, &write->removed_rows[i], &at))
      talloc_free (g_ptr_array_remove_index (world->rows, at));
}

static void
read_rows (struct jw_world *world, const struct jb_command_read *read,
           struct jb_reply *reply)
{
  for (guint i = 0; i < world->rows->len; i++)
    {
      const struct jw_row *row = g_ptr_array_index (world->rows, i);

      if (strcmp (row->table, read->table) != 0
          || strcmp (row->partition, read->partition) != 0
          || (read->first_key != NULL
              && strcmp (row->key, read->first_key) < 0))
        continue;
      if (reply->row_count == MAX_ROWS_PER_READ)
        {
          reply->next_page = talloc_asprintf (
              reply->mem, "%s!", reply->rows[reply->row_count - 1].key);
          break;
        }
      append_row (reply, row);
    }
  reply->version = world->version;
}

/* Order or take back the evacuation of the zone with index INDEX.  */
static void
change_zone (struct jw_world *world, uint32_t index, bool evacuated)
{
  struct jw_zone *zone = &world->zones[index];

  if (zone->evacuated == evacuated)
    return;
  zone->name = jw_zone_name (index);
  zone->evacuated = evacuated;
  zone->version = ++world->version;
  zone->ordered_at = world->now;
  jw_watch_disturbances (world);
  if (world->options.verbose)
    printf ("%9.3f operator %s %s\n", (double)world->now / 1e6,
            evacuated ? "evacuates" : "restores", zone->name);
}

void
jw_evacuate_zone (struct jw_world *world, uint32_t zone)
{
  change_zone (world, zone, true);
}

void
jw_restore_zone (struct jw_world *world, uint32_t zone)
{
  change_zone (world, zone, false);
}

/* Add the orders that are in force to REPLY, and unless EVERYTHING is read the
   removals, as far as they are newer than AFTER_VERSION.  */
static void
add_zones (const struct jw_world *world, uint64_t after_version,
           bool everything, struct jb_reply *reply)
{
  reply->zones
      = talloc_zero_array (reply->mem, struct jb_zone_entry, JW_ZONE_COUNT);
  for (uint32_t i = 0; i < JW_ZONE_COUNT; i++)
    {
      const struct jw_zone *zone = &world->zones[i];

      if (zone->version > after_version && (zone->evacuated || !everything))
        reply->zones[reply->zone_count++]
            = (struct jb_zone_entry){ .zone
                                      = talloc_strdup (reply->mem, zone->name),
                                      .evacuated = zone->evacuated,
                                      .version = zone->version };
    }
}

/* A reading of everything has a second page if there are orders: the
   configuration fills the first one.  */
static void
add_zone_page (const struct jw_world *world,
               const struct jb_command_watch_config *watch,
               struct jb_reply *reply)
{
  add_zones (world, 0, true, reply);
  if (watch->first_key == NULL && reply->zone_count > 0)
    {
      reply->zone_count = 0;
      reply->next_page = FIRST_ZONE_KEY;
    }
}

static void
watch_rows (struct jw_world *world,
            const struct jb_command_watch_config *watch,
            struct jb_reply *reply)
{
  if (watch->after_version != 0 && watch->after_version < world->history_start)
    {
      reply->result = JB_RESULT_GONE;
      return;
    }
  reply->version = world->version;
  if (watch->after_version == 0)
    add_zone_page (world, watch, reply);
  else
    add_zones (world, watch->after_version, false, reply);
  if (watch->first_key != NULL)
    return;
  if (world->catalog_version > watch->after_version)
    {
      reply->catalog = talloc_zero (reply->mem, struct jb_catalog);
      ba_codec_deep_copy (reply->catalog, jb_catalog_serialize, world->catalog,
                          reply->catalog);
    }
  if (world->wave_version > watch->after_version)
    {
      reply->waves = &world->wave;
      reply->wave_count = 1;
    }
}

static int
compare_instances (const void *a, const void *b)
{
  return strcmp ((*(struct jw_backend *const *)a)->instance,
                 (*(struct jw_backend *const *)b)->instance);
}

/* Fill in REPLY with the page of the list of backend servers that begins at
   the instance FIRST_KEY, or with the first one.  */
static void
list_backends (struct jw_world *world, const char *first_key,
               struct jb_reply *reply)
{
  GPtrArray *sorted = g_ptr_array_new ();

  for (guint i = 0; i < world->backends->len; i++)
    {
      struct jw_backend *backend = g_ptr_array_index (world->backends, i);

      if ((backend->up || world->now < backend->ended_at + ENTRY_LIFETIME)
          && !backend->unlisted
          && (first_key == NULL || strcmp (backend->instance, first_key) >= 0))
        g_ptr_array_add (sorted, backend);
    }
  g_ptr_array_sort (sorted, compare_instances);
  reply->backends = talloc_zero_array (reply->mem, struct jb_backend_entry,
                                       BACKENDS_PER_PAGE);
  for (guint i = 0; i < MIN (sorted->len, BACKENDS_PER_PAGE); i++)
    {
      const struct jw_backend *backend = g_ptr_array_index (sorted, i);

      reply->backends[reply->backend_count++] = (struct jb_backend_entry){
        .instance = backend->instance,
        .pool = world->catalog->pools[backend->pool].name,
        .address = backend->address,
        .zone = backend->zone,
        .draining = backend->draining,
        .capacity = { backend->cpu_milli, 100000, 0 },
        .labels = (const char **)&backend->label,
        .label_count = backend->label != NULL,
        .started_unix_ms = backend->started_unix_ms
      };
    }
  if (sorted->len > BACKENDS_PER_PAGE)
    reply->next_page = talloc_asprintf (
        reply->mem, "%s!", reply->backends[reply->backend_count - 1].instance);
  g_ptr_array_free (sorted, TRUE);
}

/* Return whether TEXT, shorter than 32 bytes, is a string in the encoded
   VALUE.  */
static bool
contains_string (struct ba_bytes value, const char *text)
{
  size_t len = strlen (text);

  for (size_t i = 1; i + len <= value.len; i++)
    if (value.data[i - 1] == (MSGPACK_FIXSTR | len)
        && memcmp (&value.data[i], text, len) == 0)
      return true;
  return false;
}

bool
jw_is_in_roster (const struct jw_world *world, const char *instance)
{
  for (guint i = 0; i < world->rows->len; i++)
    {
      const struct jw_row *row = g_ptr_array_index (world->rows, i);

      if (strcmp (row->table, "roster") == 0
          && contains_string (row->value, instance))
        return true;
    }
  return false;
}

uint32_t
jw_count_rows (const struct jw_world *world, const char *table,
               const char *prefix)
{
  uint32_t count = 0;

  for (guint i = 0; i < world->rows->len; i++)
    {
      const struct jw_row *row = g_ptr_array_index (world->rows, i);

      count += strcmp (row->table, table) == 0
               && g_str_has_prefix (row->key, prefix);
    }
  return count;
}

/* Check that a wave reported as completed covers its hosts: every second one
   of the fleet (jw_start_wave).  */
static void
report_wave (struct jw_world *world,
             const struct jb_command_report_wave *report)
{
  if (!report->completed)
    return;
  world->wave_completed = true;
  for (guint i = 0; i < world->fleet->len; i += 2)
    {
      const struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      if (!host->maintained)
        jw_report_violation (world, "MIXED",
                             "the wave is reported as completed, but %s was "
                             "not maintained",
                             host->name);
    }
}

void
jw_store_execute (struct jw_world *world, const struct jb_command *command,
                  struct jb_reply *reply)
{
  reply->result = JB_RESULT_OK;
  switch (command->kind)
    {
    case JB_COMMAND_WRITE:
      write_rows (world, &command->u.write, reply);
      break;
    case JB_COMMAND_READ:
      read_rows (world, &command->u.read, reply);
      break;
    case JB_COMMAND_WATCH_CONFIG:
      watch_rows (world, &command->u.watch_config, reply);
      break;
    case JB_COMMAND_LIST_BACKENDS:
      list_backends (world, command->u.read.first_key, reply);
      break;
    case JB_COMMAND_REPORT_WAVE:
      report_wave (world, &command->u.report_wave);
      break;
    default:
      reply->result = JB_RESULT_INVALID;
      break;
    }
}
