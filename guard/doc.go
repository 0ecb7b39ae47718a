// Package guard turns panics into errors, so that one faulty message or callback does not end the process.
package guard
