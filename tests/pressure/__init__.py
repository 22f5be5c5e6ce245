"""Real limiter processes under clients and servers that stall, hoard or flood."""
