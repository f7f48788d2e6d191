"""The time line: events of all daemons, with stamps that allow causal ordering."""
