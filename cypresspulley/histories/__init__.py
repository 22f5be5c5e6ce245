"""Defines the event histories that each process writes, and the checkers that read them afterwards."""
