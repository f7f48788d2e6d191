"""Load of targets over all entries: reported by entries, added up by keepers.

`exchange` is an entry's part, `distribution` a keeper's; `aggregation` adds the reports up, and
`moved` holds the memory of runs that leaving targets hand over.
"""

__all__ = ["aggregation", "distribution", "exchange", "moved"]
