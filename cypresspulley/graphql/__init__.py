"""GraphQL queries charged by their cost: prices (no I/O) and how the limiter handles them."""
