#include "jb_commanded.h"

#include <string.h>

enum
{
  /* Names in one row.  The page's limit is 1,000; with fewer, a change of some
     names rewrites a row of 2 KB, not of 15 KB.  */
  NAMES_PER_ROW = 128,
  MAX_NAMES_PER_ROW = 1000, /* in a decoded row */
  MAX_ROW_INDEX = 1000      /* of a row that is read */
};

/* Time between two writes that only help a successor.  */
#define LAZY_WRITE_INTERVAL (500 * JB_MS)

/* What is known about the commands to a host with a name.  The values are
   stored.  */
enum command_state
{
  STATE_NAMED, /* one may be under way, or be sent */
  /* None can be executed any more unless the host is named again.  */
  STATE_SETTLED,
  STATE_UNANSWERED, /* one was not answered, and may be executed late */
  STATE_COUNT
};

/* A host with a name in the rows.  */
struct entry
{
  char *name;
  uint32_t row;              /* index of its row */
  bool maintenance;          /* it is named for a maintenance */
  enum command_state stored; /* as last taken for its row */
  /* As read from the rows of predecessors.  */
  bool inherited;
  bool inherited_maintenance;
  enum command_state inherited_state;
  /* Commands of this planner.  */
  bool active;          /* more may be sent */
  bool in_flight;       /* one is */
  uint64_t write;       /* that makes STATE_NAMED durable; 0: none yet */
  jb_time last_command; /* when the last one was sent or answered; 0: none */
  jb_time late_until;   /* until when one without an answer may be executed */
};

struct name_row
{
  uint32_t count; /* names */
  bool stored;    /* it may exist in the store */
  bool dirty;     /* it has changed since it was last taken */
};

struct jb_commanded
{
  struct jb_commanded_options options;
  bool begun;
  bool first_row_loaded;
  uint32_t loaded_generation; /* in the first row */
  bool known;                 /* the rows are those of the predecessor */
  bool any_host;       /* stored: a predecessor without rows may have commanded
                          any host */
  GHashTable *entries; /* name -> struct entry */
  GArray *rows;        /* struct name_row */
  bool urgent;         /* a name that commands wait for is not taken yet */
  bool unanswered;     /* a command was not answered since rows were taken */
  jb_time taken_at;    /* when rows were last taken */
  uint64_t last_write; /* number of the last one taken */
  uint64_t committed;  /* highest number known to be durable */
};

/* Content of a row.  */
struct saved_host
{
  char *name;
  uint32_t state; /* enum command_state */
  bool maintenance;
};

struct saved_row
{
  uint32_t generation; /* of the ownership that wrote it */
  /* In the first row: the planner that wrote it didn't know which hosts its
     predecessor had commanded.  */
  bool any_host;
  uint32_t count;
  struct saved_host *hosts;
};

static void
serialize_saved_host (struct ba_codec *io, struct saved_host *host)
{
  ba_codec_required_str (io, &host->name);
  ba_codec_enum (io, &host->state, STATE_COUNT);
  ba_codec_bool (io, &host->maintenance);
}

static void
serialize_saved_row (struct ba_codec *io, struct saved_row *row)
{
  ba_codec_u32 (io, &row->generation);
  ba_codec_bool (io, &row->any_host);
  ba_codec_array (io, row->hosts, row->count, MAX_NAMES_PER_ROW,
                  serialize_saved_host);
}

static int
commanded_destroy (struct jb_commanded *commanded)
{
  g_hash_table_destroy (commanded->entries);
  g_array_free (commanded->rows, TRUE);
  return 0;
}

struct jb_commanded *
jb_commanded_new (TALLOC_CTX *mem)
{
  struct jb_commanded *commanded = talloc_zero (mem, struct jb_commanded);

  commanded->entries = g_hash_table_new (g_str_hash, g_str_equal);
  commanded->rows = g_array_new (FALSE, TRUE, sizeof (struct name_row));
  g_array_set_size (commanded->rows, 1);
  talloc_set_destructor (commanded, commanded_destroy);
  return commanded;
}

static struct name_row *
name_row (const struct jb_commanded *commanded, uint32_t index)
{
  return &g_array_index (commanded->rows, struct name_row, index);
}

static struct entry *
find_entry (const struct jb_commanded *commanded, const char *host)
{
  return g_hash_table_lookup (commanded->entries, host);
}

static struct entry *
add_entry (struct jb_commanded *commanded, const char *host, uint32_t row)
{
  struct entry *entry = talloc_zero (commanded, struct entry);

  entry->name = talloc_strdup (entry, host);
  entry->row = row;
  name_row (commanded, row)->count++;
  g_hash_table_insert (commanded->entries, entry->name, entry);
  return entry;
}

/* ---- the rows of predecessors ---- */

/* Return the index of the row with KEY, or -1 if this is no key of a row.  */
static int64_t
row_index (const char *key)
{
  size_t length = strlen (JB_COMMANDED_KEY);
  guint64 index;

  if (strcmp (key, JB_COMMANDED_KEY) == 0)
    return 0;
  if (strncmp (key, JB_COMMANDED_KEY, length) != 0 || key[length] != '.'
      || !g_ascii_string_to_unsigned (key + length + 1, 10, 1, MAX_ROW_INDEX,
                                      &index, NULL))
    return -1;
  return (int64_t)index;
}

static void
inherit_host (struct jb_commanded *commanded, const struct saved_host *host,
              uint32_t row)
{
  struct entry *entry;

  if (find_entry (commanded, host->name) != NULL)
    return;
  entry = add_entry (commanded, host->name, row);
  entry->maintenance = host->maintenance;
  entry->stored = host->state;
  entry->inherited = true;
  entry->inherited_maintenance = host->maintenance;
  entry->inherited_state = host->state;
}

bool
jb_commanded_load_row (struct jb_commanded *commanded,
                       const struct jb_row *row)
{
  int64_t index = row_index (row->key);
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_row saved = { 0 };
  struct ba_codec io;
  bool complete;

  ba_codec_init_reader (&io, scratch, row->value);
  serialize_saved_row (&io, &saved);
  complete = index >= 0 && ba_codec_is_complete (&io);
  if (complete && commanded->rows->len <= (guint)index)
    g_array_set_size (commanded->rows, (guint)index + 1);
  if (complete)
    name_row (commanded, (uint32_t)index)->stored = true;
  if (complete && index == 0)
    {
      commanded->first_row_loaded = true;
      commanded->loaded_generation = saved.generation;
      commanded->any_host = commanded->any_host || saved.any_host;
    }
  for (uint32_t i = 0; complete && i < saved.count; i++)
    inherit_host (commanded, &saved.hosts[i], (uint32_t)index);
  /* The names of an unreadable row are missing.  */
  commanded->any_host = commanded->any_host || !complete;
  talloc_free (scratch);
  return complete;
}

void
jb_commanded_begin (struct jb_commanded *commanded,
                    const struct jb_commanded_options *options)
{
  commanded->options = *options;
  commanded->begun = true;
  commanded->known
      = options->generation <= 1
        || (commanded->first_row_loaded
            && commanded->loaded_generation == options->generation - 1);
  /* The first row of this ownership tells a successor that the rows are
     complete, except for hosts that an unknown predecessor commanded.  */
  commanded->any_host = !commanded->known || commanded->any_host;
  name_row (commanded, 0)->dirty = true;
  commanded->urgent = true;
}

/* ---- waiting for predecessors ---- */

/* Return how long after the claim ENTRY may not be commanded, for maintenance
   if IS_MAINTENANCE.  */
static jb_time
entry_wait (const struct jb_commanded *commanded, const struct entry *entry,
            bool is_maintenance)
{
  const struct jb_commanded_options *options = &commanded->options;

  if (!entry->inherited)
    return 0;
  /* All commands to a settled host were executed before the claim.  */
  if (entry->inherited_state == STATE_SETTLED)
    return options->lease;
  if (entry->inherited_state == STATE_NAMED && is_maintenance)
    return options->predecessor_validity + options->lease;
  return options->predecessor_validity + JB_COMMANDED_LATE_EXECUTION
         + options->lease;
}

jb_time
jb_commanded_others_usable_from (const struct jb_commanded *commanded)
{
  if (!commanded->any_host || commanded->options.lease == 0)
    return commanded->options.claimed_at;
  return commanded->options.claimed_at
         + commanded->options.predecessor_validity + commanded->options.lease;
}

jb_time
jb_commanded_usable_from (const struct jb_commanded *commanded,
                          const char *host, bool is_maintenance)
{
  const struct entry *entry = find_entry (commanded, host);
  jb_time usable_from = jb_commanded_others_usable_from (commanded);

  if (entry == NULL || commanded->options.lease == 0)
    return usable_from;
  return MAX (usable_from,
              commanded->options.claimed_at
                  + entry_wait (commanded, entry, is_maintenance));
}

bool
jb_commanded_may_be_maintained (const struct jb_commanded *commanded,
                                jb_time now, const char *host)
{
  const struct entry *entry = find_entry (commanded, host);

  return entry != NULL && entry->inherited && entry->inherited_maintenance
         && entry->inherited_state != STATE_SETTLED
         && now < commanded->options.claimed_at
                      + entry_wait (commanded, entry, true);
}

/* ---- names of this planner ---- */

/* Return the index of a row with room for a name.  */
static uint32_t
row_with_room (struct jb_commanded *commanded)
{
  uint32_t index = 0;

  while (index < commanded->rows->len
         && name_row (commanded, index)->count >= NAMES_PER_ROW)
    index++;
  if (index == commanded->rows->len)
    g_array_set_size (commanded->rows, index + 1);
  return index;
}

void
jb_commanded_name_host (struct jb_commanded *commanded, const char *host,
                        bool is_maintenance)
{
  struct entry *entry = find_entry (commanded, host);

  if (entry == NULL)
    entry = add_entry (commanded, host, row_with_room (commanded));
  entry->active = true;
  /* A name that the row has already holds for the next command too.  */
  if (entry->write != 0 && entry->stored != STATE_SETTLED
      && entry->maintenance == is_maintenance)
    return;
  entry->maintenance = is_maintenance;
  entry->write = 0;
  name_row (commanded, entry->row)->dirty = true;
  commanded->urgent = true;
}

void
jb_commanded_release_host (struct jb_commanded *commanded, const char *host)
{
  struct entry *entry = find_entry (commanded, host);

  if (entry != NULL)
    entry->active = false;
}

void
jb_commanded_record_sent (struct jb_commanded *commanded, jb_time now,
                          const char *host)
{
  struct entry *entry = find_entry (commanded, host);

  if (entry == NULL)
    return;
  entry->in_flight = true;
  entry->last_command = now;
}

void
jb_commanded_record_answer (struct jb_commanded *commanded, jb_time now,
                            const char *host, bool unknown)
{
  struct entry *entry = find_entry (commanded, host);

  if (entry == NULL)
    return;
  entry->in_flight = false;
  if (unknown)
    {
      entry->late_until = entry->last_command + JB_COMMANDED_LATE_EXECUTION;
      commanded->unanswered = true;
    }
  entry->last_command = now;
}

/* ---- writing ---- */

/* Return what is known about the commands to the host of ENTRY, of this
   planner and of its predecessors.  */
static enum command_state
command_state (const struct jb_commanded *commanded, const struct entry *entry,
               jb_time now)
{
  bool predecessor_may_command
      = entry->inherited && entry->inherited_state != STATE_SETTLED
        && now < commanded->options.claimed_at
                     + commanded->options.predecessor_validity
                     + JB_COMMANDED_LATE_EXECUTION;

  if (now < entry->late_until
      || (predecessor_may_command
          && entry->inherited_state == STATE_UNANSWERED))
    return STATE_UNANSWERED;
  if (entry->active || entry->in_flight || predecessor_may_command)
    return STATE_NAMED;
  return STATE_SETTLED;
}

/* Return whether the name of ENTRY is still needed: a command may be sent, or
   the last one may be executed late or has been within the lease.  An answered
   command is not executed late.  */
static bool
is_needed (const struct jb_commanded *commanded, const struct entry *entry,
           jb_time now)
{
  const struct jb_commanded_options *options = &commanded->options;
  jb_time last = MAX (entry->last_command, entry->late_until);

  if (entry->active || entry->in_flight)
    return true;
  if (entry->inherited)
    last = MAX (last, options->claimed_at
                          + (entry->inherited_state == STATE_SETTLED
                                 ? 0
                                 : options->predecessor_validity
                                       + JB_COMMANDED_LATE_EXECUTION));
  return last != 0 && now < last + options->lease;
}

/* Remove names that are no longer needed, and mark the rows that have to be
   written again.  */
static void
update_entries (struct jb_commanded *commanded, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, commanded->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;
      struct name_row *row = name_row (commanded, entry->row);

      if (entry->stored != command_state (commanded, entry, now))
        row->dirty = true;
      if (is_needed (commanded, entry, now))
        continue;
      row->count--;
      row->dirty = true;
      g_hash_table_iter_remove (&iter);
      talloc_free (entry);
    }
  if (commanded->any_host
      && now >= jb_commanded_others_usable_from (commanded))
    {
      commanded->any_host = false;
      name_row (commanded, 0)->dirty = true;
    }
}

bool
jb_commanded_is_write_due (struct jb_commanded *commanded, jb_time now)
{
  if (!commanded->begun)
    return false;
  if (commanded->urgent || commanded->unanswered)
    return true;
  /* A write that only helps a successor does not queue behind another one.  */
  if (now - commanded->taken_at < LAZY_WRITE_INTERVAL
      || commanded->committed < commanded->last_write)
    return false;
  update_entries (commanded, now);
  for (uint32_t i = 0; i < commanded->rows->len; i++)
    if (name_row (commanded, i)->dirty)
      return true;
  return false;
}

static const char *
row_key (TALLOC_CTX *mem, uint32_t index)
{
  return index == 0 ? JB_COMMANDED_KEY
                    : talloc_asprintf (mem, "%s.%u", JB_COMMANDED_KEY, index);
}

/* Return the encoding of row INDEX, owned by MEM.  Its names become durable
   with the write that is being taken.  */
static struct ba_bytes
encode_row (struct jb_commanded *commanded, TALLOC_CTX *mem, jb_time now,
            uint32_t index)
{
  struct saved_row saved = { .generation = commanded->options.generation,
                             .any_host = index == 0 && commanded->any_host };
  GHashTableIter iter;
  gpointer value;

  saved.hosts = talloc_array (mem, struct saved_host,
                              name_row (commanded, index)->count + 1);
  g_hash_table_iter_init (&iter, commanded->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;

      if (entry->row != index)
        continue;
      entry->stored = command_state (commanded, entry, now);
      saved.hosts[saved.count].name = entry->name;
      saved.hosts[saved.count].state = entry->stored;
      saved.hosts[saved.count++].maintenance = entry->maintenance;
      if (entry->stored == STATE_SETTLED)
        entry->write = 0;
      else if (entry->write == 0)
        entry->write = commanded->last_write;
    }
  return ba_codec_encode (mem, serialize_saved_row, &saved);
}

struct jb_commanded_rows
jb_commanded_take_rows (struct jb_commanded *commanded, TALLOC_CTX *mem,
                        jb_time now)
{
  struct jb_commanded_rows rows = { .write = ++commanded->last_write };
  uint32_t count = commanded->rows->len;

  update_entries (commanded, now);
  rows.set = talloc_zero_array (mem, struct jb_row, count + 1);
  rows.removed = talloc_zero_array (mem, struct jb_row, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      struct name_row *row = name_row (commanded, i);
      struct jb_row content
          = { .table = JB_COMMANDED_TABLE, .key = row_key (mem, i) };

      if (!row->dirty)
        continue;
      row->dirty = false;
      /* The first row stays: it shows that rows are written.  */
      if (i > 0 && row->count == 0)
        {
          if (row->stored)
            rows.removed[rows.removed_count++] = content;
          row->stored = false;
          continue;
        }
      content.value = encode_row (commanded, mem, now, i);
      rows.set[rows.set_count++] = content;
      row->stored = true;
    }
  commanded->urgent = false;
  commanded->unanswered = false;
  commanded->taken_at = now;
  return rows;
}

void
jb_commanded_handle_commit (struct jb_commanded *commanded, uint64_t write)
{
  commanded->committed = MAX (commanded->committed, write);
}

bool
jb_commanded_is_committed (const struct jb_commanded *commanded,
                           const char *host)
{
  const struct entry *entry = find_entry (commanded, host);

  return entry != NULL && entry->active && entry->write != 0
         && entry->write <= commanded->committed;
}

uint32_t
jb_commanded_count (const struct jb_commanded *commanded)
{
  return g_hash_table_size (commanded->entries);
}

uint32_t
jb_commanded_count_inherited (const struct jb_commanded *commanded)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, commanded->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct entry *)value)->inherited;
  return count;
}

bool
jb_commanded_is_known (const struct jb_commanded *commanded)
{
  return commanded->known && !commanded->any_host;
}
