"""An event loop in virtual time with in-memory connections: what runs on it runs the same for one seed."""
