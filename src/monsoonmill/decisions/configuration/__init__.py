"""The configuration in force, and what it allows."""
