#include "ht_body.h"

#include <string.h>

struct ht_body_block
{
  struct ht_body_block *next;
  size_t len;
  size_t capacity;
  uint8_t data[];
};

enum
{
  /* With its header, a block has a size that the allocator doesn't round up:
     above 16 KB it would take 20.  */
  MIN_BLOCK_BYTES = 1024 - sizeof (struct ht_body_block),
  MAX_BLOCK_BYTES = 16 * 1024 - sizeof (struct ht_body_block)
};

static struct ht_body_block *
add_block (struct ht_body *body, size_t capacity)
{
  struct ht_body_block *block = g_malloc (sizeof *block + capacity);

  block->next = NULL;
  block->len = 0;
  block->capacity = capacity;
  if (body->tail != NULL)
    body->tail->next = block;
  else
    body->head = block;
  body->tail = block;
  body->capacity += capacity;
  return block;
}

/* Return the size of the next block of a body that occupies CAPACITY, when at
   most LEFT bytes may still come.  */
static size_t
next_block_size (size_t capacity, size_t left)
{
  return MIN (
      CLAMP (capacity, (size_t)MIN_BLOCK_BYTES, (size_t)MAX_BLOCK_BYTES),
      left);
}

static size_t
free_in_tail (const struct ht_body *body)
{
  return body->tail != NULL ? body->tail->capacity - body->tail->len : 0;
}

size_t
ht_body_capacity_with (const struct ht_body *body, size_t len, size_t left)
{
  size_t capacity = body->capacity;
  size_t room = free_in_tail (body);

  while (len > room)
    {
      len -= room;
      left -= room;
      room = next_block_size (capacity, left);
      capacity += room;
    }
  return capacity;
}

void
ht_body_append (struct ht_body *body, const void *data, size_t len,
                size_t left)
{
  const uint8_t *from = data;

  while (len > 0)
    {
      struct ht_body_block *block = body->tail;
      size_t part;

      if (free_in_tail (body) == 0)
        block = add_block (body, next_block_size (body->capacity, left));
      part = MIN (len, block->capacity - block->len);
      memcpy (block->data + block->len, from, part);
      block->len += part;
      body->len += part;
      from += part;
      len -= part;
      left -= part;
    }
}

const uint8_t *
ht_body_join (struct ht_body *body)
{
  struct ht_body whole = { 0 };
  struct ht_body_block *to;

  if (body->head == NULL || body->head == body->tail)
    return body->head != NULL ? body->head->data : NULL;
  to = add_block (&whole, body->len);
  for (const struct ht_body_block *block = body->head; block != NULL;
       block = block->next)
    {
      memcpy (to->data + to->len, block->data, block->len);
      to->len += block->len;
    }
  whole.len = body->len;
  ht_body_clear (body);
  *body = whole;
  return to->data;
}

void
ht_body_clear (struct ht_body *body)
{
  struct ht_body_block *block = body->head;

  while (block != NULL)
    {
      struct ht_body_block *next = block->next;

      g_free (block);
      block = next;
    }
  *body = (struct ht_body){ 0 };
}
