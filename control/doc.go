// Package control runs the control state of a VM in one goroutine.
package control
