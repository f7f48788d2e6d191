"""The entry: callers' HTTP, limits, routing, retries and the relay of tokens.  Keeps no state on
disk; whatever it knows it can learn again.
"""
