"""Plans that change while limiters serve: versions, reservations, usage reports and their store."""
