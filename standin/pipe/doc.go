// Package pipe connects clients and servers in memory, so that tests over connections can run in virtual time.
package pipe
