"""Every decision of the limiter, free of I/O and clocks: gate, fleet, quota, and the gateway that joins them."""
