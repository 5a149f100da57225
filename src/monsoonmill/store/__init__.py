"""The platform's key-value service: client interface, HTTP client and errors."""
