// Package e2e tests the chestnutcleat command as real processes on loopback addresses.
package e2e
