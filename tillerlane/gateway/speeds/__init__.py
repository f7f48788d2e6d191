"""Speeds of runners, as entries observe them and share them through load reports.

`observations` holds this entry's sums by target, `gaps` the distribution of gaps of each pool,
`estimates` combines both with the fleet's sums, `slowdowns` holds transient slowdowns, and
`reporting` writes log lines and metrics.
"""

__all__ = ["estimates", "gaps", "observations", "reporting", "slowdowns"]
