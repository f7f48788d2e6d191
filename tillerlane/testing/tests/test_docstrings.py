"""Runs the examples in docstrings."""

import doctest
import importlib
import pkgutil
import unittest

import tillerlane


def load_tests(
    loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
) -> unittest.TestSuite:
    """Add the docstring examples of every module."""
    for info in pkgutil.walk_packages(tillerlane.__path__, "tillerlane."):
        if ".tests" in info.name:
            continue
        module = importlib.import_module(info.name)
        tests.addTests(doctest.DocTestSuite(module))
    return tests
