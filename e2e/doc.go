// Package e2e tests the chestnutcleat command with real processes on loopback addresses.
package e2e
