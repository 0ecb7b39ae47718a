// Package control serializes access to a VM's control state: all functions that use it run in one goroutine.
package control
