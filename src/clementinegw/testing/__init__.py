"""Stand-ins and virtual time for tests, benchmarks and the demo.

`clock` and `memory` use no sockets; decision tests and the fault matrix run on
them. `platform`, `engine` and `plain` serve HTTP on the loopback interface.
"""
