"""Load shedding by priority: while the whole fleet is overloaded, lanes of plans are shed, the lowest first."""
