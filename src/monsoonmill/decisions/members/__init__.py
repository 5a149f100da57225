"""Membership of the fleet: gossip, failure detection and seed discovery."""
