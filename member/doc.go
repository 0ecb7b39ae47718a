// Package member detects which VMs are live by probes, in the manner of SWIM, and disseminates membership changes and small
// versioned items by gossip and anti-entropy.
package member
