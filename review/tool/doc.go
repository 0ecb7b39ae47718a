// Command tool runs the cases of the review: it starts the processes of the deploy file on loopback addresses with stand-ins of the
// platform, servers and clients, applies a disruption, and checks a rule.
package main
