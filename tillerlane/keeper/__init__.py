"""Keepers: a replicated log on a few disks, and the state machine that it drives."""
