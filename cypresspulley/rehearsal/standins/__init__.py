"""Provides stand-ins for what a limiter talks to, one file each; they speak the published protocol on loopback."""
