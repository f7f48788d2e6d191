"""The operators' interface of every daemon: changes, status, time line, drains, keepers."""
