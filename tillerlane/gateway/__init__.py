"""Unaltered relay of any HTTP service: routes, targets discovered by heartbeats, and moves."""
