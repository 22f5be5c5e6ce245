"""What each process wrote down, and the checkers that read it afterwards."""
