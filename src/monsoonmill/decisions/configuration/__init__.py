"""The configuration in force, and release notes that change it."""
