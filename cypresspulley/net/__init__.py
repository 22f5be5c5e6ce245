"""The real limiter's sockets, round the decisions of ``cypresspulley.policy``."""
