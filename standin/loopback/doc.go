// Package loopback gives the VMs of a fleet on one machine addresses of their own.
package loopback
