"""Errors as callers and operators meet them: one closed list of kinds, one table of answers."""
