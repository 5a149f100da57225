"""Limits on the retries of failed attempts."""
