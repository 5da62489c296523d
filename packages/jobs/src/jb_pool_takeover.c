/* Takeover of a pool: its rows are read from the store, then the backend
   servers in the roster are probed, so that active runs are found before any
   task is started again.  */

#include "jb_pool_internal.h"
#include "jb_progress.h"
#include "jb_takeover.h"

#include <string.h>

#define STORE_READ_TIMEOUT_MS 1500

/* Time between two checks of which loaded jobs may be released, each of which
   looks at all tasks that are not done.  */
#define RELEASE_CHECK_INTERVAL (10 * JB_MS)

/* Time between two queries for what the witnesses of former owners keep: one
   may be out of reach, or stand still.  */
#define QUERY_INTERVAL (250 * JB_MS)

/* How long loaded jobs have waited when it is first logged, and the time
   between two such lines.  */
#define WAIT_LOG_DELAY (300 * JB_MS)
#define WAIT_LOG_INTERVAL (1000 * JB_MS)

enum
{
  MAX_LISTED_BACKENDS = 5 /* by name in a log line or view */
};

static void read_page (struct jb_pool *pool, jb_time now,
                       const char *first_key);

/* Return the job whose description ROW holds, or NULL if that is invalid.  */
static struct jb_job *
load_accepted_job (struct jb_pool *pool, const struct jb_row *row)
{
  struct jb_job_desc *desc = talloc_zero (pool, struct jb_job_desc);
  struct jb_job *job;
  struct ba_codec io;

  ba_codec_init_reader (&io, desc, row->value);
  jb_job_desc_serialize (&io, desc);
  if (!ba_codec_is_complete (&io) || jb_job_desc_check (desc) != NULL)
    {
      talloc_free (desc);
      return NULL;
    }
  job = jb_job_new (pool, desc);
  job->stored = true;
  job->loaded_from_store = true;
  return job;
}

/* Return the ended job ID, whose final state ROW holds, or NULL if that is
   invalid.  Nothing else of an ended job is stored.  */
static struct jb_job *
load_ended_job (struct jb_pool *pool, const char *id, const struct jb_row *row)
{
  struct jb_job_desc *desc = talloc_zero (pool, struct jb_job_desc);
  uint32_t state = 0;
  struct jb_job *job;
  struct ba_codec io;

  ba_codec_init_reader (&io, desc, row->value);
  ba_codec_enum (&io, &state, JB_JOB_CANCELLED + 1);
  ba_codec_required_str (&io, &desc->queue);
  if (io.failed)
    {
      talloc_free (desc);
      return NULL;
    }
  desc->id = talloc_strdup (desc, id);
  desc->spec = talloc_strdup (desc, "");
  job = jb_job_new (pool, desc);
  job->stored = true;
  job->end_stored = true;
  job->state = state;
  return job;
}

static void
load_row (struct jb_pool *pool, jb_time now, const struct jb_row *row)
{
  char id[JB_JOB_ID_DIGITS + 1];
  const char *key_suffix;
  struct jb_job *job;
  bool valid = false;

  if (jb_pool_is_queues_key (row->key))
    {
      if (!jb_pool_load_queues (pool, row))
        jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable",
                "table", JB_JOB_TABLE, "pool", pool->options.name, "key",
                row->key, NULL);
      return;
    }
  if (strlen (row->key) < JB_JOB_ID_DIGITS + 2)
    return;
  g_strlcpy (id, row->key, sizeof id);
  key_suffix = row->key + JB_JOB_ID_DIGITS;
  job = g_hash_table_lookup (pool->jobs, id);
  if (strcmp (key_suffix, JB_KEY_SUFFIX_DESC) == 0 && job == NULL)
    {
      job = load_accepted_job (pool, row);
      valid = job != NULL;
      if (valid)
        jb_pool_add_job (pool, job);
    }
  else if (strcmp (key_suffix, JB_KEY_SUFFIX_END) == 0 && job == NULL)
    {
      job = load_ended_job (pool, id, row);
      valid = job != NULL;
      if (valid)
        {
          job->ended_at = now;
          jb_pool_add_job (pool, job);
        }
    }
  else if (strcmp (key_suffix, JB_KEY_SUFFIX_PROGRESS) == 0 && job != NULL)
    valid = jb_job_apply_progress (job, row->value);
  else if (jb_progress_is_segment (key_suffix) && job != NULL)
    {
      /* The previous owner removes the rows of segments after the end.  */
      valid = job->ended_at != 0
              || jb_progress_load_segment (job, key_suffix, row->value);
      if (job->ended_at != 0)
        jb_pool_remove_row (pool, g_strdup (row->key));
    }
  if (!valid)
    jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
            JB_JOB_TABLE, "pool", pool->options.name, "key", row->key, NULL);
}

/* Complete the jobs whose tasks are all done: the previous owner stored the
   end of the last task but not that of the job.  */
static void
complete_finished_jobs (struct jb_pool *pool, jb_time now)
{
  for (guint i = pool->active_jobs->len; i-- > 0;)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (jb_job_is_done (job))
        jb_pool_end_job (pool, job, JB_JOB_COMPLETED, now, NULL);
    }
}

void
jb_pool_finish_loading_if_complete (struct jb_pool *pool, jb_time now)
{
  if (pool->stage != JB_STAGE_LOADING || !pool->rows_read
      || !pool->handover_read)
    return;
  complete_finished_jobs (pool, now);
  pool->stage = JB_STAGE_SCANNING;
  jb_pool_update_queues (pool, now);
  jb_pool_mark_tasks_in_doubt (pool, now);
  pool->schedule_due = true;
  jb_log (pool->options.driver, JB_LEVEL_INFO, "pool-loaded", "pool",
          pool->options.name, "jobs", jb_itoa (g_hash_table_size (pool->jobs)),
          "active", jb_itoa (pool->active_jobs->len), "ms",
          jb_itoa ((now - pool->loading_since) / JB_MS), NULL);
  for (guint i = 0; i < pool->deferred_requests->len; i++)
    {
      struct jb_deferred_request *deferred
          = g_ptr_array_index (pool->deferred_requests, i);

      jb_pool_handle_request (pool, now, deferred->member,
                              &deferred->message->u.request);
      talloc_free (deferred);
    }
  g_ptr_array_set_size (pool->deferred_requests, 0);
}

static void
handle_page (void *data, jb_time now, jb_time sent_at,
             const struct jb_reply *reply)
{
  struct jb_pool *pool = data;

  (void)sent_at;
  if (pool->stage != JB_STAGE_LOADING)
    return;
  if (reply->result != JB_RESULT_OK)
    {
      jb_log (pool->options.driver, JB_LEVEL_WARN, "store-read-failed", "pool",
              pool->options.name, NULL);
      jb_pool_release (pool, now, "the pool's rows can't be read");
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    load_row (pool, now, &reply->rows[i]);
  if (reply->next_page != NULL)
    {
      read_page (pool, now, reply->next_page);
      return;
    }
  pool->rows_read = true;
  jb_pool_finish_loading_if_complete (pool, now);
}

/* Read the next page of the pool's job rows, from FIRST_KEY on, or from the
   start if it is NULL.  */
static void
read_page (struct jb_pool *pool, jb_time now, const char *first_key)
{
  struct jb_command command
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_READ_TIMEOUT_MS,
          .u.read = { JB_JOB_TABLE, pool->partition, first_key } };

  jb_count_event (pool->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (pool->options.driver, pool->ownership, now, &command,
                    handle_page, pool);
}

static void
handle_roster (void *data, jb_time now, jb_time sent_at,
               const struct jb_reply *reply)
{
  struct jb_pool *pool = data;

  (void)sent_at;
  if (pool->stage != JB_STAGE_LOADING)
    return;
  if (reply->result == JB_RESULT_OK && jb_pool_load_roster (pool, now, reply))
    read_page (pool, now, NULL);
  else
    jb_pool_release (pool, now, "the pool's rows can't be read");
}

/* Previous owners send no commands after UNTIL.  The leases that their last
   commands requested expire later, on the slowest allowed clock as computed
   here.  */
static void
set_predecessor_until (struct jb_pool *pool, jb_time until)
{
  pool->predecessor_until = until;
  pool->scan_until
      = until
        + JB_RUN_LEASE_MS * JB_MS * 100 / (100 - JB_MAX_CLOCK_DRIFT_PERCENT)
        + JB_LEASE_MARGIN_MS * JB_MS;
}

void
jb_pool_query_witnesses (struct jb_pool *pool, jb_time now)
{
  if ((pool->stage != JB_STAGE_LOADING && pool->stage != JB_STAGE_SCANNING)
      || pool->options.query_starts == NULL || now < pool->next_query)
    return;
  pool->next_query = now + QUERY_INTERVAL;
  pool->options.query_starts (pool->options.data, now, pool->options.name,
                              pool->predecessor.generation, 0);
}

void
jb_pool_begin_takeover (struct jb_pool *pool, jb_time now)
{
  pool->stage = JB_STAGE_LOADING;
  pool->loading_since = now;
  pool->predecessor = (struct jb_takeover_predecessor){
    .claimed_at = now, .generation = jb_ownership_generation (pool->ownership)
  };
  set_predecessor_until (pool, jb_takeover_commands_end (&pool->predecessor,
                                                         JB_OWNERSHIP_VALIDITY,
                                                         now));
  jb_pool_check_predecessor (pool, now);
  jb_pool_query_witnesses (pool, now);
  jb_pool_read_handover (pool, now);
  jb_pool_read_roster (pool, now, handle_roster);
}

void
jb_pool_check_predecessor (struct jb_pool *pool, jb_time now)
{
  const char *owner = jb_ownership_previous_owner (pool->ownership);
  uint64_t incarnation = jb_ownership_previous_incarnation (pool->ownership);
  jb_time until;

  if ((pool->stage != JB_STAGE_LOADING && pool->stage != JB_STAGE_SCANNING)
      || now >= pool->predecessor_until || owner == NULL)
    return;
  /* If it was this process, nothing of its former ownership is left.  */
  if (!pool->predecessor.has_ended)
    pool->predecessor.has_ended = incarnation == pool->options.incarnation
                                  || pool->options.has_process_ended (
                                      pool->options.data, owner, incarnation);
  until = jb_takeover_commands_end (&pool->predecessor, JB_OWNERSHIP_VALIDITY,
                                    now);
  if (until >= pool->predecessor_until)
    return;
  set_predecessor_until (pool, until);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "predecessor-ended", "pool",
          pool->options.name, "owner", owner, "reason",
          pool->predecessor.has_handed_over ? "it has handed the pool over"
                                            : "its process has ended",
          "ms", jb_itoa ((now - pool->loading_since) / JB_MS), NULL);
}

bool
jb_pool_awaits_backend (const struct jb_backend *backend)
{
  return backend->inherited && !(backend->probed && backend->ends_listed)
         && !backend->excluded_from_roster;
}

bool
jb_pool_answering_are_probed (const struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (pool->stage != JB_STAGE_ACTIVE
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (backend->inherited && !(backend->probed && backend->ends_listed)
          && backend->unanswered_probes < JB_SILENT_AFTER_PROBES)
        return false;
    }
  return true;
}

char *
jb_pool_list_awaited (const struct jb_pool *pool, TALLOC_CTX *mem,
                      uint32_t *count)
{
  char *names = talloc_strdup (mem, "");
  GHashTableIter iter;
  gpointer value;

  *count = 0;
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (jb_pool_awaits_backend (backend) && (*count)++ < MAX_LISTED_BACKENDS)
        names = talloc_asprintf_append_buffer (
            names, "%s%s", names[0] != '\0' ? "," : "", backend->instance);
    }
  return names;
}

/* Let the tasks of JOB, which was loaded, start.  */
static void
release_job (struct jb_pool *pool, struct jb_job *job, enum jb_counter counter)
{
  job->loaded_from_store = false;
  jb_job_note_change (job);
  pool->schedule_due = true;
  jb_count_event (pool->options.driver, counter);
}

/* Log how many jobs wait for which backend servers.  */
static void
log_waiting_jobs (struct jb_pool *pool, jb_time now)
{
  jb_time waited = now - pool->loading_since;
  uint32_t count;
  char *names;

  if (pool->waiting_jobs + pool->awaited_tasks == 0 || waited < WAIT_LOG_DELAY
      || (pool->wait_logged_at != 0
          && now - pool->wait_logged_at < WAIT_LOG_INTERVAL))
    return;
  pool->wait_logged_at = now;
  names = jb_pool_list_awaited (pool, NULL, &count);
  jb_log (pool->options.driver, JB_LEVEL_WARN, "loaded-jobs-wait", "pool",
          pool->options.name, "jobs", jb_itoa (pool->waiting_jobs), "tasks",
          jb_itoa (pool->awaited_tasks), "backends", jb_itoa (count), "first",
          names, "since_ms", jb_itoa (waited / JB_MS), "at_most_ms",
          jb_itoa ((pool->scan_until - now) / JB_MS), NULL);
  talloc_free (names);
}

jb_time
jb_pool_release_loaded_jobs (struct jb_pool *pool, jb_time now)
{
  uint32_t released = 0;
  bool all_known;
  bool may_release;

  if (pool->stage != JB_STAGE_SCANNING || !pool->release_check_due)
    return JB_NEVER;
  if (now < pool->next_release_check)
    return pool->next_release_check;
  pool->release_check_due = false;
  pool->next_release_check = now + RELEASE_CHECK_INTERVAL;
  pool->waiting_jobs = 0;
  pool->awaited_tasks = jb_pool_mark_awaited_tasks (pool);
  all_known = jb_pool_left_runs_are_known (pool);
  may_release
      = now >= pool->predecessor_until
        || jb_pool_has_disabled (pool, JB_SAFEGUARD_LISTED_AFTER_COMMANDS);
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (!job->loaded_from_store || job->ended_at != 0)
        continue;
      if ((now >= pool->predecessor_until && all_known)
          || (may_release && jb_takeover_may_release (job)))
        {
          release_job (pool, job, JB_COUNT_LOADED_JOBS_RELEASED_EARLY);
          released++;
        }
      else
        pool->waiting_jobs++;
    }
  if (released > 0)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "loaded-jobs-released",
            "pool", pool->options.name, "jobs", jb_itoa (released), "waiting",
            jb_itoa (pool->waiting_jobs), "ms",
            jb_itoa ((now - pool->loading_since) / JB_MS), NULL);
  log_waiting_jobs (pool, now);
  return JB_NEVER;
}

/* Return whether the scan must wait for BACKEND at NOW: until all runs that a
   previous owner started there have ended, or it has answered; and until it
   has listed their ends, if it answers.  */
static bool
delays_scan (const struct jb_pool *pool, const struct jb_backend *backend,
             jb_time now)
{
  return jb_pool_awaits_backend (backend)
         && (now < pool->scan_until
             || (backend->probed && backend->unanswered_probes == 0));
}

void
jb_pool_finish_scan_if_complete (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t unprobed = 0;

  if (pool->stage != JB_STAGE_SCANNING)
    return;
  /* A backend server that restarts forgets the fencing token of this owner,
     and carries out commands that the predecessor still sends.  */
  if (pool->restart_seen_at != 0 && now < pool->predecessor_until)
    return;
  if (jb_pool_awaits_witness (pool, now))
    return;
  if (jb_ownership_generation (pool->ownership) > 1
      && !jb_pool_has_disabled (pool, JB_SAFEGUARD_ROSTER))
    {
      g_hash_table_iter_init (&iter, pool->backends);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        unprobed += delays_scan (pool, value, now);
      if (unprobed > 0)
        return;
    }
  jb_pool_forget_awaited_witnesses (pool, now);
  pool->stage = JB_STAGE_ACTIVE;
  pool->schedule_due = true;
  pool->waiting_jobs = 0;
  jb_pool_hold_tasks (pool, now);
  pool->awaited_tasks = jb_pool_mark_awaited_tasks (pool);
  if (!jb_pool_holds_tasks (pool))
    jb_pool_forget_copies (pool);
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (job->loaded_from_store)
        release_job (pool, job, JB_COUNT_LOADED_JOBS_RELEASED);
    }
  jb_log (pool->options.driver, JB_LEVEL_INFO, "pool-active", "pool",
          pool->options.name, "ms",
          jb_itoa ((now - pool->loading_since) / JB_MS), "unprobed",
          jb_itoa (unprobed), NULL);
}

bool
jb_pool_can_be_handed_over (const struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->stage != JB_STAGE_ACTIVE || !jb_pool_may_command (pool, now))
    return false;
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;
      bool is_silent = backend->unanswered_probes >= JB_SILENT_AFTER_PROBES;
      bool is_evacuated = backend->excluded_from_roster
                          && now < backend->cordoned_until
                          && backend->unanswered_probes == 0;

      if (is_evacuated
          || (is_silent && backend->in_roster
              && !backend->excluded_from_roster))
        return false;
    }
  return true;
}
