"""Select the endpoint with the lowest estimated cost for each request.

Each entry host of process/site selects by itself and learns the load that the others
cause from their reports. The pool queues of process/scheduling don't use this package.
"""
