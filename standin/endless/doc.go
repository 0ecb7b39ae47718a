// Package endless answers requests with bodies that do not end, for tests of what a client reads.
package endless
