// Package caller is a stand-in for callers: it runs seeded agent programs against the VMs and reports what they saw.
package caller
