#include "ba_ring.h"

#include "dp_test.h"

#include <glib.h>
#include <poll.h>

enum
{
  WRITERS = 4,
  ITEMS = 20000,
  CAPACITY = 64
};

static struct ba_ring *ring;

/* Item I of writer W is the pointer W * ITEMS + I + 1.  */
static gpointer
writer_main (gpointer data)
{
  guint first = GPOINTER_TO_UINT (data) * ITEMS;

  for (guint i = 1; i <= ITEMS; i++)
    while (!ba_ring_push (ring, GUINT_TO_POINTER (first + i)))
      g_thread_yield ();
  return NULL;
}

static void
test_many_writers (void)
{
  GThread *threads[WRITERS];
  guint last[WRITERS] = { 0 };
  guint count = 0;
  gboolean ordered = TRUE;

  ring = ba_ring_new (NULL, CAPACITY);
  for (guint w = 0; w < WRITERS; w++)
    threads[w] = g_thread_new ("writer", writer_main, GUINT_TO_POINTER (w));
  while (count < WRITERS * ITEMS)
    {
      struct pollfd p = { .fd = ba_ring_fd (ring), .events = POLLIN };
      gpointer item;

      poll (&p, 1, 1000);
      ba_ring_reset_fd (ring);
      while ((item = ba_ring_pop (ring)) != NULL)
        {
          guint number = GPOINTER_TO_UINT (item) - 1;

          ordered = ordered && number % ITEMS >= last[number / ITEMS];
          last[number / ITEMS] = number % ITEMS;
          count++;
        }
    }
  for (guint w = 0; w < WRITERS; w++)
    g_thread_join (threads[w]);
  CU_ASSERT_TRUE (ordered);
  CU_ASSERT_PTR_NULL (ba_ring_pop (ring));
  talloc_free (ring);
}

static void
test_full (void)
{
  int item;
  unsigned pushed = 0;

  ring = ba_ring_new (NULL, CAPACITY);
  while (ba_ring_push (ring, &item))
    pushed++;
  CU_ASSERT_EQUAL (pushed, CAPACITY - 1);
  CU_ASSERT_PTR_EQUAL (ba_ring_pop (ring), &item);
  CU_ASSERT_TRUE (ba_ring_push (ring, &item));
  talloc_free (ring);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "many writers", test_many_writers },
          { "full", test_full },
          { NULL, NULL } };

  return dp_test_main ("ba_ring", tests);
}
