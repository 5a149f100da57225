"""Stand-ins for backend servers and for faulty networks, used by tests."""
