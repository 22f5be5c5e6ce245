"""Socket takeover on an upgrade: the snapshot and the states (no I/O), and a thin channel between two processes."""
