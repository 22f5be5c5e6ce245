"""Shared counts on other engines than the platform's keeper."""
