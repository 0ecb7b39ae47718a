// Package lease assigns each slot to one owner VM. A VM holds a lease that a majority of its witnesses grants,
// replicates its records to them, takes over the slots of failed VMs and hands its own over when it leaves.
package lease
