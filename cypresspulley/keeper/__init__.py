"""Keeps shared counts on engines other than the platform's own counter service."""
