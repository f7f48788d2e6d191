"""Placement of models on runners: planned by the leading keeper, executed by fenced orders."""
