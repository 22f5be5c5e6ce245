"""Caches answers to lookups and invalidates them at business close, for clients at the same instant everywhere."""
