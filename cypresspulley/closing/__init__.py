"""Kept answers that are gone at business close, at every limiter at one instant as far as any client can tell."""
