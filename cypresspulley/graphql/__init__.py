"""GraphQL queries charged by their cost: prices (no I/O) and their way through the limiter."""
