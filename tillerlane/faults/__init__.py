"""Errors reported to callers and operators: a closed list of kinds with their responses."""
