// Package dispatch balances requests over upstreams. It keeps the request queue, the granted tickets, the circuit
// breaker, the prefix cache index and the outstanding orders of each upstream that this VM owns.
package dispatch
