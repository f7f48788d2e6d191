"""Fleet membership: daemons' own records, the platform's host list, and failure detection."""
