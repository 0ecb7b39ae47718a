// Package resources measures what the test process uses.
package resources
