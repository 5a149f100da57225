"""Stand-ins for what surrounds the system, for tests and trials only.

They replace the backend servers, the platform's key-value store and, as a TCP
proxy that injects faults, the network between processes.
"""
