"""Benchmarks; apart from their tests they do not affect the result of CI."""
