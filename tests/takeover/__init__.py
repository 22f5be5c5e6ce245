"""Tests of the takeover: states, snapshot, and both sides over loopback sockets."""
