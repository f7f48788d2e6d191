"""Adapter to the users' platform: its names, formats and calls, and nothing that decides."""
