"""Exchanges of any HTTP service relayed unaltered: routes, targets found by heartbeats, moves."""
