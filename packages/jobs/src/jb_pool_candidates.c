/* The task groups that a scheduling cycle may start, the first one in rank
   first.

   Expected load: 10,000 groups of a hundred classes, and room for a few tasks.
   So no order is made among the groups of a class beyond its first one until
   a second one is wanted.  */

#include "jb_pool_internal.h"

/* The candidates of a class.  */
struct class_queue
{
  struct jb_candidate *candidates;
  struct jb_candidate **order; /* the first one at index 0, or a heap */
  guint count;
  bool is_heap;
};

struct jb_candidates
{
  GPtrArray *queues; /* struct class_queue, with candidates; or a heap */
  bool is_heap;
  bool is_taken; /* the first candidate of the first queue was returned */
};

int
jb_candidate_compare (const struct jb_candidate *a,
                      const struct jb_candidate *b)
{
  int order = jb_rank_compare (&a->rank, &b->rank);

  if (order != 0)
    return order;
  if (a->group->job != b->group->job)
    return a->group->job->active_index < b->group->job->active_index ? -1 : 1;
  if (a->group->occurrence != b->group->occurrence)
    return a->group->occurrence < b->group->occurrence ? -1 : 1;
  return a->group->step < b->group->step ? -1
                                         : a->group->step > b->group->step;
}

static int
compare_in_queue (gconstpointer a, gconstpointer b)
{
  return jb_candidate_compare (a, b);
}

static int
compare_queues (gconstpointer a, gconstpointer b)
{
  const struct class_queue *x = a;
  const struct class_queue *y = b;

  return jb_candidate_compare (x->order[0], y->order[0]);
}

/* Move the element at INDEX of the COUNT in HEAP down to its place: none goes
   before the one at half of its index.  */
static void
sift_down (gpointer *heap, guint count, guint index, GCompareFunc compare)
{
  gpointer moved = heap[index];

  for (;;)
    {
      guint child = 2 * index + 1;

      if (child + 1 < count && compare (heap[child + 1], heap[child]) < 0)
        child++;
      if (child >= count || compare (moved, heap[child]) <= 0)
        break;
      heap[index] = heap[child];
      index = child;
    }
  heap[index] = moved;
}

static void
make_heap (gpointer *heap, guint count, GCompareFunc compare)
{
  for (guint i = count / 2; i-- > 0;)
    sift_down (heap, count, i, compare);
}

static int
candidates_destroy (struct jb_candidates *candidates)
{
  g_ptr_array_free (candidates->queues, TRUE);
  return 0;
}

struct jb_candidates *
jb_candidates_new (TALLOC_CTX *mem)
{
  struct jb_candidates *candidates = talloc_zero (mem, struct jb_candidates);

  candidates->queues = g_ptr_array_new ();
  talloc_set_destructor (candidates, candidates_destroy);
  return candidates;
}

void
jb_candidates_add_class (struct jb_candidates *candidates,
                         const struct jb_candidate *members, guint count)
{
  struct class_queue *queue = talloc_zero (candidates, struct class_queue);
  guint first = 0;

  queue->candidates = talloc_memdup (queue, members, count * sizeof *members);
  queue->order = talloc_array (queue, struct jb_candidate *, count);
  queue->count = count;
  for (guint i = 0; i < count; i++)
    {
      queue->order[i] = &queue->candidates[i];
      if (jb_candidate_compare (queue->order[i], queue->order[first]) < 0)
        first = i;
    }
  queue->order[first] = &queue->candidates[0];
  queue->order[0] = &queue->candidates[first];
  g_ptr_array_add (candidates->queues, queue);
}

/* Remove the first candidate of QUEUE.  */
static void
advance (struct class_queue *queue)
{
  gpointer *order = (gpointer *)queue->order;

  order[0] = order[--queue->count];
  if (queue->is_heap && queue->count > 0)
    sift_down (order, queue->count, 0, compare_in_queue);
  else
    make_heap (order, queue->count, compare_in_queue);
  queue->is_heap = true;
}

/* Remove the candidate that was returned last.  */
static void
remove_taken (struct jb_candidates *candidates)
{
  GPtrArray *queues = candidates->queues;
  struct class_queue *queue = g_ptr_array_index (queues, 0);

  if (queue->count > 0)
    advance (queue);
  if (queue->count == 0)
    {
      g_ptr_array_remove_index_fast (queues, 0);
      talloc_free (queue);
    }
  if (queues->len > 0)
    sift_down (queues->pdata, queues->len, 0, compare_queues);
}

const struct jb_candidate *
jb_candidates_take (struct jb_candidates *candidates)
{
  GPtrArray *queues = candidates->queues;

  if (!candidates->is_heap)
    make_heap (queues->pdata, queues->len, compare_queues);
  candidates->is_heap = true;
  if (candidates->is_taken)
    remove_taken (candidates);
  candidates->is_taken = queues->len > 0;
  return queues->len > 0
             ? ((struct class_queue *)g_ptr_array_index (queues, 0))->order[0]
             : NULL;
}

void
jb_candidates_drop_class (struct jb_candidates *candidates)
{
  ((struct class_queue *)g_ptr_array_index (candidates->queues, 0))->count = 0;
}
