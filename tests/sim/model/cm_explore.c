#include "cm_explore.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  CHUNK_STATES = 4096,
  MAX_STEPS = 64
};

/* A state that was reached.  */
struct node
{
  struct cm_state state;
  uint32_t depth;
  struct cm_step step; /* from PARENT */
  const struct node *parent;
};

struct search
{
  const struct cm_options *options;
  TALLOC_CTX *mem;
  GPtrArray *chunks; /* struct node[CHUNK_STATES], in the order of reaching */
  size_t count;
  GHashTable *states; /* of struct cm_state, within the nodes */
  struct cm_step steps[MAX_STEPS];
  uint32_t step_count;
  const struct node *violating;
};

static guint
hash_state (gconstpointer state)
{
  return (guint)XXH3_64bits (state, sizeof (struct cm_state));
}

static gboolean
equal_states (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct cm_state)) == 0;
}

static void
add_steps (struct search *search, enum cm_step_kind kind, uint8_t owners,
           uint8_t servers, uint8_t values)
{
  for (uint8_t i = 0; i < owners; i++)
    for (uint8_t j = 0; j < servers; j++)
      for (uint8_t k = 0; k < values; k++)
        search->steps[search->step_count++] = (struct cm_step){
          .kind = kind, .owner = i, .server = j, .value = k
        };
}

static void
list_steps (struct search *search)
{
  add_steps (search, CM_SEND_START, CM_OWNERS, CM_SERVERS, 1);
  add_steps (search, CM_SEND_HOLD, CM_OWNERS, CM_SERVERS, 1);
  add_steps (search, CM_ASK, CM_OWNERS, CM_SERVERS, 1);
  add_steps (search, CM_CARRY_OUT, 1, CM_MESSAGES, 2);
  add_steps (search, CM_RUN_ENDS, 1, CM_SERVERS, 2);
  for (int kind = CM_OTHER_ENDS; kind < CM_STEP_KINDS; kind++)
    add_steps (search, kind, 1, 1, 1);
}

static struct node *
node_at (const struct search *search, size_t index)
{
  struct node *chunk
      = g_ptr_array_index (search->chunks, index / CHUNK_STATES);

  return &chunk[index % CHUNK_STATES];
}

/* Return the place of the next node, which is taken when it is counted.  */
static struct node *
next_node (struct search *search)
{
  if (search->count / CHUNK_STATES == search->chunks->len)
    g_ptr_array_add (
        search->chunks,
        talloc_zero_array (search->mem, struct node, CHUNK_STATES));
  return node_at (search, search->count);
}

static void
add_node (struct search *search, struct node *node)
{
  if (!g_hash_table_add (search->states, &node->state))
    return;
  search->count++;
  if (node->state.violation != CM_NO_VIOLATION)
    search->violating = node;
}

static void
expand (struct search *search, const struct node *parent)
{
  for (uint32_t i = 0; i < search->step_count && search->violating == NULL;
       i++)
    {
      struct node *node = next_node (search);

      *node = (struct node){ .state = parent->state,
                             .depth = parent->depth + 1,
                             .step = search->steps[i],
                             .parent = parent };
      if (cm_apply (search->options, &node->state, &node->step)
          && g_hash_table_lookup (search->states, &node->state) == NULL)
        add_node (search, node);
    }
}

static void
print_trace (const struct node *node)
{
  if (node->parent == NULL)
    return;
  print_trace (node->parent);
  cm_print_step (&node->step, &node->parent->state, &node->state);
}

struct cm_result
cm_explore (const struct cm_options *options, size_t max_states,
            bool prints_trace)
{
  struct search search = { .options = options, .mem = talloc_new (NULL) };
  struct cm_result result = { .violation = CM_NO_VIOLATION };
  struct node *first;
  size_t i = 0;

  search.chunks = g_ptr_array_new ();
  search.states = g_hash_table_new (hash_state, equal_states);
  list_steps (&search);
  first = next_node (&search);
  cm_init (&first->state);
  add_node (&search, first);
  while (i < search.count && search.count < max_states
         && search.violating == NULL)
    {
      const struct node *node = node_at (&search, i++);

      if (!cm_is_final (options, &node->state))
        expand (&search, node);
    }
  result.states = search.count;
  result.is_complete = search.violating != NULL || i == search.count;
  if (search.violating != NULL)
    {
      result.violation = search.violating->state.violation;
      result.step_count = search.violating->depth;
      if (prints_trace)
        print_trace (search.violating);
    }
  g_hash_table_destroy (search.states);
  g_ptr_array_free (search.chunks, TRUE);
  talloc_free (search.mem);
  return result;
}
