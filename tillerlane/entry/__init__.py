"""The entry: HTTP interface of callers, limits, routing, retries and the relay of tokens.

An entry keeps no state on disk; all that it holds can be rebuilt from its peers.
"""
