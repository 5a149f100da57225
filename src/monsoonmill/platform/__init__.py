"""The platform's key-value service: its client and a stand-in for tests."""
