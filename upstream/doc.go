// Package upstream holds what the HTTP clients of engines and plain services have in common.
package upstream
