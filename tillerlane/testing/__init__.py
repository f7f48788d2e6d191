"""Simulated runners, services and callers, test programs and the demo.

Nothing here is used by the daemon or the command-line tool.
"""
