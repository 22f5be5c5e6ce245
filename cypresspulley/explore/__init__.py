"""Searches seeds and fault schedules, in virtual time, for runs in which a limiter violates a rule."""
