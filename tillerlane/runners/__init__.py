"""Clients that agents use for their targets: one adapter module for each protocol."""
