"""Membership of the limiters' fleet: a SWIM-like failure detector, gossip, anti-entropy and small per-member rows."""
