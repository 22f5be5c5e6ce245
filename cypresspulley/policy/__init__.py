"""The decisions of the limiter, without I/O or clocks: gates, servers, quotas, and the gateway that combines them."""
