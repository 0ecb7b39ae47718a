// Package soak runs the entry and storage VMs of a small fleet as real processes against stand-ins, injects faults from outside and
// checks what callers and instances observe.
package soak
