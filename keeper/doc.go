// Package keeper changes the set of disks that hold the records as storage VMs come, go and lose their disks.
package keeper
