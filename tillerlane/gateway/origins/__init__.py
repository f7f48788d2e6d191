"""Which software version began each resumable stream, for the entry at which it is resumed.

Entries report the streams that they start to their home keepers (`recorder`); an entry at which a
caller resumes a stream asks for its version (`resumptions`, `queries`), and a keeper that does not
know it asks the others (`registry`).  Keepers have a copy on disk (`origin_file`).
`table` holds the records and encodes them.  The rules are in `tillerlane.decisions.resumption`, and
``docs/design/software-versions.md`` describes what happens when a part fails.
"""

__all__ = ["origin_file", "queries", "recorder", "registry", "resumptions", "table"]
