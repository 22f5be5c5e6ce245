"""A search over seeds and fault schedules, in virtual time, for a day on which a limiter breaks a rule."""
