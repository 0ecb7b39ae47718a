// Package dispatch chooses upstreams for requests and owns their queues, tickets, cache indexes and orders.
package dispatch
