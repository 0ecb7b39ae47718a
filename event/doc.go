// Package event lists the numbered log events.
package event
