"""The time line: what every daemon did, stamped so that all of it can be put in causal order."""
