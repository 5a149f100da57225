"""Whole deployments of real node processes, with disruptions from outside."""
