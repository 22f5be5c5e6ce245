"""A soak test on real processes: faults drawn from a seed overlap, and each play is judged afterwards."""
