"""Implements the limiter's network side; the decisions are made in ``cypresspulley.policy``."""
