// Package keeper maintains the set of disks that replicate programs' records while storage VMs join, leave or lose their disks.
package keeper
