"""Calls that come in, and the attempts that run them."""
