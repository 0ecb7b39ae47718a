// Package lease decides which VM owns which slot: leases granted by witnesses,
// takeover, handover, and the records that must survive their owner.
package lease
