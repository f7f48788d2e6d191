"""Tests of the memory budget."""
