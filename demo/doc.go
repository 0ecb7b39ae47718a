// Package demo runs a small fleet with stand-ins of all outside systems in one process.
package demo
