"""Rates of organisations over the whole fleet."""
