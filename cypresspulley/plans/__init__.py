"""Plans in service: versions, reservations, use across a change, and their store."""
