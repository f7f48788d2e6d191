"""Measurements: apart from the tests, never part of CI's verdict."""
