/* Example site Cantábrica Reflectores: large hosts, urgent checks, and archive
   work that can wait.  */

#include "example_fleet.h"

/* Name, number of hosts, hosts that must stay available, spare pool.  */
static const struct example_pool pools[]
    = { { "scans", 12, 10, false }, { "drives", 8, 6, false },
        { "feeds", 10, 8, false },  { "archive", 10, 6, false },
        { "reserve", 10, 0, true }, { NULL, 0, 0, false } };

/* Name, share, limit.  */
static const struct dp_team teams[] = {
  { "yebes", 35, 140 },    { "santander", 25, 100 }, { "technicians", 20, 80 },
  { "engineers", 10, 40 }, { "contracts", 5, 20 },   { "museum", 5, 8 },
  { NULL, 0, 0 }
};

/* Name, pool, team of requests without an API key, whether requests are
   archive work by default, maximum number of waiting requests.  */
static const struct dp_queue queues[]
    = { { "scan", "scans", NULL, false, 1000 },
        { "motor-check", "drives", NULL, false, 500 },
        { "alignment", "feeds", NULL, false, 500 },
        { "archive", "archive", NULL, true, 2000 },
        { "public-sky", "archive", "museum", true, 100 },
        { NULL, NULL, NULL, false, 0 } };

int
main (void)
{
  static const struct example_site site
      = { "cantabrica", 32, 64, 128 * 1024, pools, teams, queues };

  return example_print_fleet (&site);
}
