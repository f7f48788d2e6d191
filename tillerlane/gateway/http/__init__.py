"""HTTP/1.1 to callers and targets: heads, limits, connections and listeners."""
