"""Code and state whose life span is one connection.

caller and endpoint are the HTTP server and client of process/roles; http is used by
process/site and by the front ends in platform. peer connects the processes.
"""
