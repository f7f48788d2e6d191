"""Stand-ins for what the system meets: runner, plain service, platform list; and the demo.

Nothing here is used by the daemon or the command-line tool.
"""
