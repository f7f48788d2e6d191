"""``tillerlane``: the operators' command line.  It speaks HTTP to any daemon."""
