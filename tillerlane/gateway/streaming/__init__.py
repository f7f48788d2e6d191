"""Streams of events to callers, over all runners that their runs move to."""
