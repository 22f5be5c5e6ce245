"""Measurements, one a file; each prints a ratio against a baseline run beside it. Not part of the tests."""
