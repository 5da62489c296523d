#include "ba_error.h"

GQuark
ba_error_quark (void)
{
  return g_quark_from_static_string ("dogwoodpulley");
}
