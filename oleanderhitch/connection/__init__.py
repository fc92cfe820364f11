"""Code and state whose life span is one connection.

caller and endpoint are the WSGI server and the HTTP client of the hosts in
process/roles. http is the HTTP server and client of the hosts in process/site and of
the front ends in platform. peer connects the processes.
"""
