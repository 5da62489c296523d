#include "cf_schema.h"

#include "ba_address.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

enum
{
  MAX_NAME_LENGTH = 63
};

struct decoder
{
  TALLOC_CTX *mem; /* owner of decoded strings and arrays */
  yaml_document_t *document;
  struct cf_errors *errors;
};

void
cf_errors_add (struct cf_errors *errors, unsigned long line,
               const char *format, ...)
{
  va_list args;

  if (errors->messages == NULL)
    errors->messages = g_string_new (NULL);
  else
    g_string_append_c (errors->messages, '\n');
  g_string_append_printf (errors->messages, "%s:%lu: ", errors->file, line);
  va_start (args, format);
  g_string_append_vprintf (errors->messages, format, args);
  va_end (args);
  errors->count++;
}

bool
cf_errors_finish (struct cf_errors *errors, GError **error)
{
  if (errors->messages == NULL)
    return true;
  g_set_error_literal (error, BA_ERROR, BA_ERROR_VALUE, errors->messages->str);
  g_string_free (errors->messages, TRUE);
  errors->messages = NULL;
  return false;
}

static unsigned long
node_line_number (const yaml_node_t *node)
{
  return node->start_mark.line + 1;
}

/* Return the text of a scalar node, or NULL for nodes of other types.  */
static const char *
scalar_text (const yaml_node_t *node)
{
  if (node->type != YAML_SCALAR_NODE)
    return NULL;
  return (const char *)node->data.scalar.value;
}

static bool
is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > MAX_NAME_LENGTH)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)text[i]) && strchr ("-_.", text[i]) == NULL)
      return false;
  return true;
}

static bool
is_address (const char *text)
{
  struct sockaddr_in parsed;

  return ba_address_parse (text, &parsed);
}

static bool
parse_integer (const char *text, int64_t *value)
{
  char *end;
  long long number;

  errno = 0;
  number = strtoll (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0')
    return false;
  *value = number;
  return true;
}

/* Add the error that the value of FIELD, NODE, is not what EXPECTED
   describes.  */
static void
report_unexpected (struct decoder *d, const yaml_node_t *node,
                   const struct cf_field *field, const char *expected)
{
  const char *text = scalar_text (node);

  cf_errors_add (d->errors, node_line_number (node),
                 "%s: expected %s, got %s%s%s", field->key, expected,
                 text ? "\"" : "", text ? text : "a mapping or list",
                 text ? "\"" : "");
}

static void
decode_string (struct decoder *d, const yaml_node_t *node,
               const struct cf_field *field, char **out)
{
  const char *text = scalar_text (node);

  if (text == NULL)
    report_unexpected (d, node, field, "a string");
  else if (field->type == CF_TYPE_NAME && !is_name (text))
    report_unexpected (d, node, field,
                       "a name of 1 to 63 letters, digits, '-', '_' or '.'");
  else if (field->type == CF_TYPE_ADDRESS && !is_address (text))
    report_unexpected (d, node, field,
                       "an IPv4 address and port, such as "
                       "127.0.0.1:8080");
  else
    *out = talloc_strdup (d->mem, text);
}

static void
decode_integer (struct decoder *d, const yaml_node_t *node,
                const struct cf_field *field, int64_t *out)
{
  const char *text = scalar_text (node);
  char *range;

  if (text != NULL && parse_integer (text, out) && *out >= field->min
      && *out <= field->max)
    return;
  range = talloc_asprintf (d->mem, "an integer from %" PRId64 " to %" PRId64,
                           field->min, field->max);
  report_unexpected (d, node, field, range);
}

static void
decode_boolean (struct decoder *d, const yaml_node_t *node,
                const struct cf_field *field, bool *out)
{
  const char *text = scalar_text (node);

  if (text != NULL && strcmp (text, "true") == 0)
    *out = true;
  else if (text != NULL && strcmp (text, "false") == 0)
    *out = false;
  else
    report_unexpected (d, node, field, "true or false");
}

static void
decode_choice (struct decoder *d, const yaml_node_t *node,
               const struct cf_field *field, int64_t *out)
{
  const char *text = scalar_text (node);
  char *list = talloc_strdup (d->mem, "one of");

  for (size_t i = 0; field->choices[i] != NULL; i++)
    {
      if (text != NULL && strcmp (text, field->choices[i]) == 0)
        {
          *out = (int64_t)i;
          return;
        }
      list = talloc_asprintf_append (list, " %s", field->choices[i]);
    }
  report_unexpected (d, node, field, list);
}

static void decode_mapping (struct decoder *d, const yaml_node_t *node,
                            const struct cf_schema *schema, char *out);

static void
decode_list (struct decoder *d, const yaml_node_t *node,
             const struct cf_field *field, char *out)
{
  uint32_t *count = (uint32_t *)(void *)(out + field->count_offset);
  char *items;

  if (node->type != YAML_SEQUENCE_NODE)
    {
      report_unexpected (d, node, field, "a list");
      return;
    }
  *count = (uint32_t)(node->data.sequence.items.top
                      - node->data.sequence.items.start);
  items = talloc_zero_size (d->mem, field->schema->size * (*count + 1));
  memcpy (out + field->offset, &items, sizeof items);
  for (uint32_t i = 0; i < *count; i++)
    {
      yaml_node_t *item = yaml_document_get_node (
          d->document, node->data.sequence.items.start[i]);

      decode_mapping (d, item, field->schema, items + i * field->schema->size);
    }
}

static void
decode_field (struct decoder *d, const yaml_node_t *node,
              const struct cf_field *field, char *out)
{
  void *value = out + field->offset;

  switch (field->type)
    {
    case CF_TYPE_STRING:
    case CF_TYPE_NAME:
    case CF_TYPE_ADDRESS:
      decode_string (d, node, field, value);
      break;
    case CF_TYPE_INTEGER:
      decode_integer (d, node, field, value);
      break;
    case CF_TYPE_BOOLEAN:
      decode_boolean (d, node, field, value);
      break;
    case CF_TYPE_CHOICE:
      decode_choice (d, node, field, value);
      break;
    case CF_TYPE_MAPPING:
      decode_mapping (d, node, field->schema, value);
      break;
    case CF_TYPE_LIST:
      decode_list (d, node, field, out);
      break;
    }
}

/* Store the default value, if any, of FIELD, whose key is missing.  */
static void
set_default (struct decoder *d, const struct cf_field *field, char *out)
{
  void *value = out + field->offset;

  if (field->type == CF_TYPE_INTEGER || field->type == CF_TYPE_CHOICE)
    *(int64_t *)value = field->default_value;
  else if (field->type == CF_TYPE_BOOLEAN)
    *(bool *)value = field->default_value != 0;
  else if (field->type == CF_TYPE_MAPPING)
    for (size_t i = 0; i < field->schema->field_count; i++)
      set_default (d, &field->schema->fields[i], value);
  else if (field->type != CF_TYPE_LIST && field->default_string != NULL)
    *(char **)value = talloc_strdup (d->mem, field->default_string);
}

static void
decode_mapping (struct decoder *d, const yaml_node_t *node,
                const struct cf_schema *schema, char *out)
{
  uint64_t seen_fields = 0; /* bit I: the key of field I was found */

  if (node->type != YAML_MAPPING_NODE)
    {
      cf_errors_add (d->errors, node_line_number (node),
                     "%s: expected a mapping", schema->noun);
      return;
    }
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *key = yaml_document_get_node (d->document, pair->key);
      yaml_node_t *value = yaml_document_get_node (d->document, pair->value);
      const char *name = scalar_text (key);
      size_t i = 0;

      while (i < schema->field_count
             && (name == NULL || strcmp (schema->fields[i].key, name) != 0))
        i++;
      if (i == schema->field_count)
        cf_errors_add (d->errors, node_line_number (key),
                       "%s: unknown key \"%s\"", schema->noun,
                       name ? name : "(not a scalar)");
      else if (seen_fields & (UINT64_C (1) << i))
        cf_errors_add (d->errors, node_line_number (key),
                       "%s: key \"%s\" is given twice", schema->noun, name);
      else
        {
          seen_fields |= UINT64_C (1) << i;
          decode_field (d, value, &schema->fields[i], out);
        }
    }
  for (size_t i = 0; i < schema->field_count; i++)
    if (!(seen_fields & (UINT64_C (1) << i)))
      {
        if (schema->fields[i].required)
          cf_errors_add (d->errors, node_line_number (node),
                         "%s: key \"%s\" is missing", schema->noun,
                         schema->fields[i].key);
        set_default (d, &schema->fields[i], out);
      }
}

void
cf_schema_decode (TALLOC_CTX *mem, const char *text,
                  const struct cf_schema *schema, void *out,
                  struct cf_errors *errors)
{
  yaml_parser_t parser;
  yaml_document_t document;
  yaml_node_t *root;
  struct decoder d = { mem, &document, errors };

  yaml_parser_initialize (&parser);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text,
                                strlen (text));
  if (!yaml_parser_load (&parser, &document))
    {
      cf_errors_add (errors, parser.problem_mark.line + 1, "not YAML: %s",
                     parser.problem ? parser.problem : "unreadable");
      yaml_parser_delete (&parser);
      return;
    }
  root = yaml_document_get_root_node (&document);
  if (root == NULL)
    cf_errors_add (errors, 1, "%s: the file is empty", schema->noun);
  else
    decode_mapping (&d, root, schema, out);
  yaml_document_delete (&document);
  yaml_parser_delete (&parser);
}

/* Write handler of the YAML emitter: append the output to the GString
   DATA.  */
static int
append_output (void *data, unsigned char *buffer, size_t size)
{
  g_string_append_len (data, (const char *)buffer, (gssize)size);
  return 1;
}

static void
emit_scalar (yaml_emitter_t *emitter, const char *text)
{
  yaml_event_t event;

  yaml_scalar_event_initialize (&event, NULL, NULL, (const yaml_char_t *)text,
                                -1, 1, 1, YAML_ANY_SCALAR_STYLE);
  yaml_emitter_emit (emitter, &event);
}

static void emit_mapping (yaml_emitter_t *emitter,
                          const struct cf_schema *schema, const char *in);

static void
emit_list (yaml_emitter_t *emitter, const struct cf_field *field,
           const char *in)
{
  uint32_t count = *(const uint32_t *)(const void *)(in + field->count_offset);
  yaml_event_t event;
  char *items;

  memcpy (&items, in + field->offset, sizeof items);
  yaml_sequence_start_event_initialize (
      &event, NULL, NULL, 1,
      count == 0 ? YAML_FLOW_SEQUENCE_STYLE : YAML_BLOCK_SEQUENCE_STYLE);
  yaml_emitter_emit (emitter, &event);
  for (uint32_t i = 0; i < count; i++)
    emit_mapping (emitter, field->schema, items + i * field->schema->size);
  yaml_sequence_end_event_initialize (&event);
  yaml_emitter_emit (emitter, &event);
}

static void
emit_field (yaml_emitter_t *emitter, const struct cf_field *field,
            const char *in)
{
  const void *value = in + field->offset;
  char number[32];

  switch (field->type)
    {
    case CF_TYPE_STRING:
    case CF_TYPE_NAME:
    case CF_TYPE_ADDRESS:
      emit_scalar (emitter, *(char *const *)value);
      break;
    case CF_TYPE_INTEGER:
      snprintf (number, sizeof number, "%" PRId64, *(const int64_t *)value);
      emit_scalar (emitter, number);
      break;
    case CF_TYPE_BOOLEAN:
      emit_scalar (emitter, *(const bool *)value ? "true" : "false");
      break;
    case CF_TYPE_CHOICE:
      emit_scalar (emitter, field->choices[*(const int64_t *)value]);
      break;
    case CF_TYPE_MAPPING:
      emit_mapping (emitter, field->schema, value);
      break;
    case CF_TYPE_LIST:
      emit_list (emitter, field, in);
      break;
    }
}

/* Return whether FIELD is a string whose value in IN is NULL.  Such a field is
   omitted from the output.  */
static bool
is_null_string (const struct cf_field *field, const char *in)
{
  return (field->type == CF_TYPE_STRING || field->type == CF_TYPE_NAME
          || field->type == CF_TYPE_ADDRESS)
         && *(char *const *)(const void *)(in + field->offset) == NULL;
}

static void
emit_mapping (yaml_emitter_t *emitter, const struct cf_schema *schema,
              const char *in)
{
  yaml_event_t event;

  yaml_mapping_start_event_initialize (&event, NULL, NULL, 1,
                                       YAML_BLOCK_MAPPING_STYLE);
  yaml_emitter_emit (emitter, &event);
  for (size_t i = 0; i < schema->field_count; i++)
    if (!is_null_string (&schema->fields[i], in))
      {
        emit_scalar (emitter, schema->fields[i].key);
        emit_field (emitter, &schema->fields[i], in);
      }
  yaml_mapping_end_event_initialize (&event);
  yaml_emitter_emit (emitter, &event);
}

char *
cf_schema_to_yaml (TALLOC_CTX *mem, const struct cf_schema *schema,
                   const void *in)
{
  yaml_emitter_t emitter;
  yaml_event_t event;
  GString *text = g_string_new (NULL);
  char *copy;

  yaml_emitter_initialize (&emitter);
  yaml_emitter_set_output (&emitter, append_output, text);
  yaml_stream_start_event_initialize (&event, YAML_UTF8_ENCODING);
  yaml_emitter_emit (&emitter, &event);
  yaml_document_start_event_initialize (&event, NULL, NULL, NULL, 1);
  yaml_emitter_emit (&emitter, &event);
  emit_mapping (&emitter, schema, in);
  yaml_document_end_event_initialize (&event, 1);
  yaml_emitter_emit (&emitter, &event);
  yaml_stream_end_event_initialize (&event);
  yaml_emitter_emit (&emitter, &event);
  yaml_emitter_delete (&emitter);
  copy = talloc_strdup (mem, text->str);
  g_string_free (text, TRUE);
  return copy;
}
