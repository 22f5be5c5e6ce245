"""Reads HAR files and access logs into one request model, merges them, detects retries and replays the load."""
