"""Captured load: HAR files and access logs in, one request model out; merging, retries, replay."""
