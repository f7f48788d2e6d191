"""Decisions about requests: pure functions without I/O, clock or random source."""
