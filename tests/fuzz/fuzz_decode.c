/* Fuzz target for everything that is decoded from outside: messages of peers,
   frames, settings, fleets, recorded events, rows and answers of the table
   service.  The first byte of the input says which.

   Built with clang -fsanitize=fuzzer and -DFUZZ_LIBRARY the library calls
   LLVMFuzzerTestOneInput.  In CI the program runs each file of the corpus and
   a fixed series of changed copies of it: fuzz_decode DIRECTORY ROUNDS  */

#include "cf_fleet.h"
#include "cf_settings.h"
#include "co_event.h"
#include "co_inspect.h"
#include "jb_msg.h"
#include "jb_job.h"
#include "pf_client_api.h"
#include "pf_service_api.h"
#include "pf_platform.h"
#include "pl_table.h"
#include "pr_frame.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
decode_message (TALLOC_CTX *mem, struct ba_bytes in)
{
  struct co_msg message = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, in);
  co_msg_serialize (&io, &message);
}

static void
decode_event (TALLOC_CTX *mem, struct ba_bytes in)
{
  struct co_event event = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, in);
  co_event_serialize (&io, &event);
}

static void
decode_view (TALLOC_CTX *mem, struct ba_bytes in)
{
  struct co_view view = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, in);
  co_view_serialize (&io, &view);
}

static void
decode_ledger (TALLOC_CTX *mem, struct ba_bytes in)
{
  (void)mem;
  co_ledger_row_total (in, "t/team0");
}

static void
decode_frame (TALLOC_CTX *mem, struct ba_bytes in)
{
  GByteArray *array = g_byte_array_new ();
  struct pr_challenge challenge;
  struct pr_hello hello;
  struct ba_bytes body;

  g_byte_array_append (array, in.data, (guint)in.len);
  if (pr_frame_parse (array, 0, PR_MAX_HELLO_BYTES, &body)
      == PR_FRAME_COMPLETE)
    {
      pr_challenge_decode (mem, body, &challenge);
      pr_hello_decode (mem, body, &hello);
    }
  g_byte_array_free (array, TRUE);
}

static void
decode_settings (TALLOC_CTX *mem, struct ba_bytes in)
{
  char *text = talloc_strndup (mem, (const char *)in.data, in.len);
  GError *error = NULL;

  if (cf_settings_parse (mem, "fuzz", text, &error) == NULL)
    g_error_free (error);
}

/* A fleet that is accepted must print to a text that is accepted.  */
static void
decode_fleet (TALLOC_CTX *mem, struct ba_bytes in)
{
  char *text = talloc_strndup (mem, (const char *)in.data, in.len);
  GError *error = NULL;
  struct cf_fleet *fleet = cf_fleet_parse (mem, "fuzz", text, &error);

  if (fleet == NULL)
    g_error_free (error);
  else if (cf_fleet_parse (mem, "again", cf_fleet_to_yaml (mem, fleet), NULL)
           == NULL)
    abort ();
}

static void
decode_item (TALLOC_CTX *mem, struct ba_bytes in)
{
  json_t *root = json_loadb ((const char *)in.data, in.len, 0, NULL);
  struct co_row row = { 0 };
  char *reference;
  char *text = talloc_strndup (mem, (const char *)in.data, in.len);

  if (root != NULL)
    pl_table_parse_row (mem, root, &row, &reference);
  json_decref (root);
  pl_table_parse_write_result (400, text);
}

/* A message of jobs that is accepted must encode, and decode again.  */
static void
decode_jobs_message (TALLOC_CTX *mem, struct ba_bytes in)
{
  struct jb_msg *message = jb_msg_decode (mem, in);

  if (message != NULL
      && jb_msg_decode (mem, jb_msg_encode (mem, message)) == NULL)
    abort ();
}

/* A job's rows: what was handed in, and then how far it is.  The first two
   bytes are the length of the former.  */
static void
decode_job_rows (TALLOC_CTX *mem, struct ba_bytes in)
{
  size_t len = in.len > 2 ? in.data[0] * 256U + in.data[1] : 0;
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct ba_codec io;

  if (len > in.len - MIN (in.len, 2))
    return;
  ba_codec_init_reader (&io, desc, (struct ba_bytes){ in.data + 2, len });
  jb_job_desc_serialize (&io, desc);
  if (!ba_codec_is_complete (&io) || jb_job_desc_check (desc) != NULL)
    return;
  jb_job_apply_progress (
      jb_job_new (mem, desc),
      (struct ba_bytes){ in.data + 2 + len, in.len - 2 - len });
}

/* Answers of the platform, as those to each kind of order.  */
static void
decode_answers (TALLOC_CTX *mem, struct ba_bytes in)
{
  for (int kind = 0; kind < JB_COMMAND_KIND_COUNT; kind++)
    {
      struct jb_reply reply = { 0 };

      pf_service_api_decode_response (NULL, mem, (enum jb_command_kind)kind,
                                      200, (const char *)in.data, in.len,
                                      &reply);
    }
}

static void
decode_call (TALLOC_CTX *mem, struct ba_bytes in)
{
  struct sv_client_request wire = { .method = "POST",
                                    .target = "/q/0123456789abcdef",
                                    .body = in.data,
                                    .body_len = in.len };
  struct jb_call call = { 0 };

  if (!pf_client_api_decode_request (NULL, mem, &wire, &call)
      || call.desc == NULL)
    return;
  /* The entry takes the ID from the path.  */
  call.desc->id = talloc_strdup (mem, "0123456789abcdef");
  jb_job_desc_check (call.desc);
}

static void
decode_node (TALLOC_CTX *mem, struct ba_bytes in)
{
  GError *error = NULL;

  if (pf_platform_parse (mem, "fuzz", (const char *)in.data, in.len, &error)
      == NULL)
    g_clear_error (&error);
}

static void (*const decoders[]) (TALLOC_CTX *, struct ba_bytes)
    = { decode_message,      decode_event,    decode_view,    decode_ledger,
        decode_settings,     decode_fleet,    decode_item,    decode_frame,
        decode_jobs_message, decode_job_rows, decode_answers, decode_call,
        decode_node };

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  TALLOC_CTX *mem = talloc_new (NULL);

  if (size > 1)
    {
      struct ba_bytes in = ba_bytes_copy (mem, data + 1, size - 1);

      decoders[data[0] % G_N_ELEMENTS (decoders)](mem, in);
    }
  talloc_free (mem);
  return 0;
}

#ifndef FUZZ_LIBRARY

/* Append a copy of half of what follows AT.  Appending may move the array, so
   the part is copied first.  */
static void
double_part (GByteArray *bytes, guint at)
{
  guint len = (bytes->len - at) / 2;
  guint8 *part = g_memdup2 (bytes->data + at, len);

  g_byte_array_append (bytes, part, len);
  g_free (part);
}

/* Change a few bytes, cut, or double a part.  */
static void
mutate (GRand *random, GByteArray *bytes)
{
  int changes = g_rand_int_range (random, 1, 6);

  for (int i = 0; i < changes && bytes->len > 2; i++)
    {
      guint at = (guint)g_rand_int_range (random, 1, (gint32)bytes->len);

      switch (g_rand_int_range (random, 0, 4))
        {
        case 0:
          bytes->data[at] = (guint8)g_rand_int_range (random, 0, 256);
          break;
        case 1:
          bytes->data[at] ^= (guint8)(1 << g_rand_int_range (random, 0, 8));
          break;
        case 2:
          g_byte_array_set_size (bytes, at);
          break;
        default:
          double_part (bytes, at);
          break;
        }
    }
}

/* Directories have no order: sort, so that each run is the same.  */
static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

int
main (int argc, char **argv)
{
  GRand *random = g_rand_new_with_seed (1);
  GDir *dir = argc == 3 ? g_dir_open (argv[1], 0, NULL) : NULL;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  const char *name;
  unsigned runs = 0;

  if (dir == NULL)
    return EXIT_FAILURE;
  while ((name = g_dir_read_name (dir)) != NULL)
    g_ptr_array_add (names, g_strdup (name));
  g_ptr_array_sort (names, compare_names);
  for (guint i = 0; i < names->len; i++)
    {
      char *file
          = g_build_filename (argv[1], g_ptr_array_index (names, i), NULL);
      char *data;
      gsize len;

      if (!g_file_get_contents (file, &data, &len, NULL))
        return EXIT_FAILURE;
      LLVMFuzzerTestOneInput ((const uint8_t *)data, len);
      for (int round = 0; round < atoi (argv[2]); round++, runs++)
        {
          GByteArray *bytes = g_byte_array_new ();

          g_byte_array_append (bytes, (const guint8 *)data, (guint)len);
          mutate (random, bytes);
          LLVMFuzzerTestOneInput (bytes->data, bytes->len);
          g_byte_array_free (bytes, TRUE);
        }
      g_free (data);
      g_free (file);
    }
  printf ("%u files, %u changed copies\n", names->len, runs);
  g_dir_close (dir);
  g_rand_free (random);
  return runs > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
