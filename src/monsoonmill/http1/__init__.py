"""HTTP/1.1 server and client connections, run by the node's task.

httptools parses the messages; the sockets belong to the task that waits on them.
"""
