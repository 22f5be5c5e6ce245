"""Provides an event loop in virtual time with in-memory connections: a run depends on its seed alone."""
