/* Example site Rangmanch Talent Bureau: bursts of requests, and bookings whose
   confirmations must always go through.  */

#include "example_fleet.h"

/* Name, number of hosts, hosts that must stay available, spare pool.  */
static const struct example_pool pools[]
    = { { "matching", 10, 7, false },   { "bookings", 12, 9, false },
        { "portfolios", 10, 7, false }, { "invoices", 8, 5, false },
        { "spare", 10, 0, true },       { NULL, 0, 0, false } };

/* Name, share, limit.  */
static const struct dp_team teams[] = { { "castings", 30, 120 },
                                        { "weddings", 25, 100 },
                                        { "advertising", 20, 80 },
                                        { "theatre", 10, 40 },
                                        { "photographers", 10, 40 },
                                        { "accounts", 5, 16 },
                                        { NULL, 0, 0 } };

/* Name, pool, team of requests without an API key, whether requests are
   archive work by default, maximum number of waiting requests.  */
static const struct dp_queue queues[]
    = { { "match", "matching", NULL, false, 500 },
        { "confirm", "bookings", NULL, false, 1000 },
        { "portfolio", "portfolios", NULL, true, 500 },
        { "settle", "invoices", NULL, true, 500 },
        { "enquiries", "matching", "castings", false, 200 },
        { NULL, NULL, NULL, false, 0 } };

int
main (void)
{
  static const struct example_site site
      = { "rangmanch", 31, 16, 64 * 1024, pools, teams, queues };

  return example_print_fleet (&site);
}
