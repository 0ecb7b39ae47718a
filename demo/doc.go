// Package demo runs a small fleet in one process, with stand-ins for all external systems.
package demo
