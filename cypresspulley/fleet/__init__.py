"""The limiters' view of their own fleet: who is in, in which life and state, with a small row of facts each."""
