// Package caller is a stand-in for callers: a load generator that runs seeded agent programs against the VMs and reports
// their latencies and errors.
package caller
