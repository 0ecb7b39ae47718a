// Package soak runs the real programs of a small fleet as processes beside stand-ins, injects faults from outside them and checks
// what callers and instances see.
package soak
