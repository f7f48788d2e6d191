"""Queue of the requests that wait at an entry for a pool of model runners.

`finder.TargetFinder` finds a target for a request: at once where nothing waits and memory is free,
and otherwise through the pool's `pool_queue.PoolQueue`.  The queue offers free memory to the
waiting requests in the order of `decisions.ordering`; `choosing.Chooser` decides whether a runner
can take one now, and claims memory for the first of them.
"""

__all__ = ["choosing", "finder", "memory_watch", "offers", "pool_queue"]
