// Package guard keeps one message or callback that panics from ending the process.
package guard
